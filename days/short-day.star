# A bad day in short, for every run of the tests.
load("front.star")

day(length = s(9), seed = 11, managers = 3)
boxes(count = 8, spread = 0.2, list_lag = ms(700))
viewers(
    per_second = 8, least_watch = s(2), most_watch = s(6), titles = 12,
    plan_shares = [3, 6, 1], hintless = 0.1, malformed = 0.1, crowd_title = 2,
)

trouble(kind = "crash", at = s(1), lasts = s(3), boxes = [0])
trouble(kind = "false_cmsd", at = s(1), lasts = s(6), boxes = [1], size = 0.1)
trouble(kind = "neighbour", at = s(1), lasts = s(6), boxes = [1, 5], size = 0.7)
trouble(kind = "hang", at = s(2), lasts = s(2), boxes = [2])
trouble(kind = "answer_lost", at = s(3), lasts = s(2), boxes = [4])
trouble(kind = "drain", at = s(3), lasts = s(4), boxes = [3], size = 0.8)
trouble(kind = "crowd", at = s(4), lasts = s(2), size = 8)
trouble(kind = "roll", at = s(5), lasts = s(1), managers = [0], size = 0.4)
trouble(kind = "list_late", at = s(4), lasts = s(3), size = 2)
trouble(kind = "stall", at = s(6), lasts = s(1), managers = [1])
trouble(kind = "vanish", at = s(5), lasts = s(2), boxes = [6])
