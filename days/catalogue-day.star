# A bad day with a catalogue under change: recordings move while viewers open them, the feed breaks.
load("front.star")
catalogue(feed_wait = s(2))

day(length = s(12), seed = 5, managers = 3)
boxes(count = 10, spread = 0.2, list_lag = ms(700))
viewers(
    per_second = 9, least_watch = s(2), most_watch = s(6), titles = 12,
    plan_shares = [3, 6, 1], hintless = 0.05, malformed = 0.05, crowd_title = 2,
)

trouble(kind = "catalogue_moves", at = s(0), lasts = s(12), size = 20)
trouble(kind = "feed_broken", at = s(3), lasts = s(5))
trouble(kind = "crowd", at = s(2), lasts = s(3), size = 8)
trouble(kind = "drain", at = s(4), lasts = s(4), boxes = [3, 4], size = 0.8)
trouble(kind = "crash", at = s(2), lasts = s(3), boxes = [0])
trouble(kind = "roll", at = s(6), lasts = s(1), managers = [0], size = 1.2)
trouble(kind = "list_late", at = s(5), lasts = s(4), size = 2)
