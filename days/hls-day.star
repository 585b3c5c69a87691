# A bad day for players of HLS alone: live windows that move, boxes whose lists disagree, managers restarted.
load("front.star")

day(length = s(14), seed = 3, managers = 3)
boxes(count = 8, spread = 0.2, list_lag = ms(700), live_titles = 0.5)
viewers(
    per_second = 7, least_watch = s(3), most_watch = s(9), titles = 12,
    plan_shares = [3, 6, 1], hls = 1, hintless = 0.15, malformed = 0.1, crowd_title = 2,
)

trouble(kind = "list_behind", at = s(0), lasts = s(14), boxes = [1, 4], size = 2)
trouble(kind = "list_gaps", at = s(0), lasts = s(14), boxes = [2, 6])
trouble(kind = "list_nonsense", at = s(3), lasts = s(3), boxes = [5])
trouble(kind = "crash", at = s(2), lasts = s(3), boxes = [0])
trouble(kind = "neighbour", at = s(2), lasts = s(6), boxes = [3, 7], size = 0.7)
trouble(kind = "hang", at = s(4), lasts = s(2), boxes = [4])
trouble(kind = "answer_lost", at = s(5), lasts = s(2), boxes = [6])
trouble(kind = "drain", at = s(6), lasts = s(4), boxes = [3], size = 0.8)
trouble(kind = "crowd", at = s(6), lasts = s(3), size = 8)
trouble(kind = "roll", at = s(8), lasts = s(1), managers = [0, 1], size = 0.4)
trouble(kind = "stall", at = s(11), lasts = s(1), managers = [1])
trouble(kind = "vanish", at = s(10), lasts = s(2), boxes = [7])
