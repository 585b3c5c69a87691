# A bad day: every kind of trouble that operators have met, within forty seconds, for viewers of both fronts.
load("front.star")

day(length = s(40), seed = 7, managers = 3)
boxes(count = 16, spread = 0.2, list_lag = ms(1500), live_titles = 0.4)
viewers(
    per_second = 9, least_watch = s(4), most_watch = s(18), titles = 40, zipf = 0.8,
    plan_shares = [3, 6, 1], hls = 0.4, hintless = 0.08, malformed = 0.08, crowd_title = 3,
)

trouble(kind = "crash", at = s(4), lasts = s(6), boxes = [1, 9])
trouble(kind = "slow", at = s(6), lasts = s(10), boxes = [2], size = 4)
trouble(kind = "neighbour", at = s(5), lasts = s(15), boxes = [4, 5, 12], size = 0.6)
trouble(kind = "false_cmsd", at = s(5), lasts = s(20), boxes = [5, 11], size = 0.1)
trouble(kind = "hang", at = s(9), lasts = s(6), boxes = [3])
trouble(kind = "vanish", at = s(11), lasts = s(6), boxes = [14])
trouble(kind = "crowd", at = s(12), lasts = s(8), size = 6)
trouble(kind = "answer_lost", at = s(14), lasts = s(5), boxes = [6])
trouble(kind = "drain", at = s(16), lasts = s(8), boxes = [0, 8], size = 0.5)
trouble(kind = "list_late", at = s(15), lasts = s(12), size = 3)
trouble(kind = "roll", at = s(20), lasts = s(3), managers = [0, 1], size = 0.6)
trouble(kind = "ageing", at = s(21), lasts = s(12), boxes = [7], size = 6)
trouble(kind = "stall", at = s(26), lasts = s(2), managers = [2])
trouble(kind = "list_down", at = s(29), lasts = s(3))
trouble(kind = "report_late", at = s(30), lasts = s(6), boxes = [10, 13, 15], size = 3)
trouble(kind = "list_behind", at = s(2), lasts = s(30), boxes = [1, 6, 11], size = 2)
trouble(kind = "list_gaps", at = s(2), lasts = s(36), boxes = [4, 13])
trouble(kind = "list_nonsense", at = s(17), lasts = s(4), boxes = [12])
trouble(kind = "drain", at = s(33), lasts = s(5), boxes = [2, 10], size = 2.5)
