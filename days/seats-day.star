# A day of licensed seats: tokens that live four seconds, keys that rotate, managers cut down, a crowd.
load("front.star")
entitlement(
    issuer = "issuer", audience = "hall", skew = ms(500), grace = s(1), resume = s(2),
    keys_every = s(2), keys_least = ms(500), longest_come_back = s(2),
)

day(length = s(12), seed = 4, managers = 3)
boxes(count = 10, spread = 0.2, list_lag = ms(700), live_titles = 0.4)
issuer(rotate = s(3), token_life = s(4), teams = 3, seats = 8, bad = 0.08)
viewers(
    per_second = 8, least_watch = s(2), most_watch = s(8), titles = 12,
    plan_shares = [3, 6, 1], hls = 0.4, hintless = 0.1, malformed = 0.05, crowd_title = 2,
)

trouble(kind = "crowd", at = s(3), lasts = s(3), size = 10)
trouble(kind = "roll", at = s(4), lasts = s(2), managers = [0, 1, 2], size = 0.5)
trouble(kind = "crash", at = s(2), lasts = s(3), boxes = [0])
trouble(kind = "hang", at = s(5), lasts = s(2), boxes = [4])
trouble(kind = "answer_lost", at = s(6), lasts = s(2), boxes = [6])
trouble(kind = "issuer_down", at = s(7), lasts = s(2))
trouble(kind = "stall", at = s(9), lasts = s(1), managers = [1])
