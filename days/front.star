# Crash replays for engineers: three halls, two plans. Settings of a session manager, and of the days here.
ladder(
    rates = [kB_per_s(12), kB_per_s(24), kB_per_s(40), kB_per_s(60)],
    revenue = [0.45, 0.7, 0.88, 1.0],
)
plan(name = "escalation", startup_target = ms(800), abandon = s(4), revenue = 3, floor = 1)
plan(name = "triage", startup_target = ms(1500), abandon = s(5), seats = 12)
plan(name = "export", startup_target = ms(1500), abandon = s(4), pay_at_setup = True)
hall("hall-a")
hall("hall-b")
hall("hall-c")
kind(streams = 40)
fleet(cells = 8, racks = 4, copies = 3, link = kB_per_s(600), uplink = kB_per_s(2000))
objects(length = ms(500), note_lag = ms(500), switch_cost = ms(400))
rules(
    cold = s(10), cold_from = 0.4, overload_multiple = 3, fall = s(3),
    drain_grace = s(2), tries = 5, longest_come_back = s(2),
    budget_window = s(5), budget_free = 6, budget_share = 0.5,
)
probes(allowed = True, price = 0.0087)
box_list(every = ms(300))
limits(silence = s(3))
hls()
