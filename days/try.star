# A few boxes to try a manager against by hand: ten minutes without viewers or troubles.
load("front.star")

day(length = s(600), seed = 1, managers = 1)
boxes(count = 8)
viewers(per_second = 0.01, least_watch = s(1), most_watch = s(2))
