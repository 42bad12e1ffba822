"""What the benchmarks on one process share: a front's file and a kind of streamer with room for anything."""

from herongap.standins import MachineProfile

INI = """
[front]
listen = 127.0.0.1:0
log_level = error
[limits]
pace = 100000
burst = 100000
connections_a_peer = 100000
[ladder]
rates = 100, 300, 900
values = 0.3, 0.6, 1.0
[package standard]
join_target = 1.5
patience = 4
[links]
per_weight = 100000
rack = 1000000
[places]
std = 1000
[catalogue]
file = catalogue.json
"""
KIND = MachineProfile((100.0, 300.0, 900.0), (0.3, 0.6, 1.0), 1e5, 1e6, 1000, set_up=(0.001, 0.01))
