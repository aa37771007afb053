"""Experiments with one real limiter process among emulated peers, or with the policy engine alone.

All connections are on the loopback address.

| module | contents |
| --- | --- |
| `plan` | the keys of the experiment files |
| `run`, `phases` | the kind `process`: its sizes, phases of load and result lines |
| `environment` | all emulated peers of one limiter process |
| `limiter_process` | the limiter process under test, its log and its resource usage |
| `fleet`, `endpoint_list` | settings, gossip messages and endpoint list of the fleet |
| `traffic`, `servers`, `discovery`, `counter`, `gossip_peers`, `clients` | the emulated peers |
| `engine_sweep`, `engine_benchmark` | the kind `module`: its sizes and the processor time of each event |
| `slopes`, `fleet_load` | figures derived from other figures or from settings |
"""
