"""Limiters that are killed and start again while the agents of discovery are silent."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from standins import Client, Discovery, Limiter, Record, Server, has_trouble, make_settings, now, run_case

FOLDER = Path(__file__).resolve().parent
LIMITER_COUNT = 3
KILLED_COUNT = 2
SERVER_COUNT = 4
REQUEST_INTERVAL_SECONDS = 0.05
# How long discovery is down.
OUTAGE_SECONDS = 8.0
# `rules.stopSendingWithin`, and the 50 ms by which every limit is longer on sockets.
GRACE_SECONDS = 0.5 + 0.05


async def case(record: Record) -> list[str]:
    """Return the attempts that began although the agent had told of the drain."""
    servers = [Server(f"s-{index}", record) for index in range(SERVER_COUNT)]
    for server in servers:
        await server.listen()
    agents = [Discovery(record, f"agent {index}") for index in range(LIMITER_COUNT)]
    for agent in agents:
        await agent.listen()
        for server in servers:
            await agent.publish(server)
    limiters = [
        Limiter(
            record, f"n{index}", make_settings(index, LIMITER_COUNT), agent.port, known=agent.whole_list()
        )
        for index, agent in enumerate(agents)
    ]
    try:
        await asyncio.gather(*[limiter.start() for limiter in limiters])
        return await play(record, servers[0], agents, limiters)
    finally:
        await asyncio.gather(*[limiter.stop() for limiter in limiters])


async def play(record: Record, server: Server, agents: list[Discovery], limiters: list[Limiter]) -> list[str]:
    """Kill limiters, drain a server, let discovery go down, start the limiters, and check the server."""
    clients = [Client(record, limiter.port) for limiter in limiters]
    loads = [asyncio.ensure_future(send_requests(client)) for client in clients]
    await asyncio.sleep(3)
    for limiter, load in zip(limiters[:KILLED_COUNT], loads, strict=False):
        load.cancel()
        limiter.signal(signal.SIGKILL)
    await asyncio.sleep(0.5)
    drained_at = now()
    for agent in agents:
        await agent.publish(server, "leaving")
    await asyncio.sleep(0.5)
    if has_trouble():
        record.add(f"discovery is down for {OUTAGE_SECONDS} s, its agents are silent")
        for agent in agents:
            agent.answers.clear()
    outage_end = now() + OUTAGE_SECONDS
    bounds = {client.port: drained_at + GRACE_SECONDS for client in clients}
    for index, limiter in enumerate(limiters[:KILLED_COUNT]):
        await limiter.start(wait_until_ready=False)
        bounds[limiter.port] = now() + GRACE_SECONDS
        loads[index] = asyncio.ensure_future(send_requests_when_ready(limiter, clients[index]))
    await asyncio.sleep(outage_end - now())
    for agent in agents:
        agent.answers.set()
    record.add("discovery is back")
    await asyncio.sleep(2)
    for load in loads:
        load.cancel()
    await asyncio.sleep(1)
    return [
        f"{server.name} got {request.request_id} {request.first_byte_at - drained_at:.2f} s after its drain"
        for request in server.requests
        if request.first_byte_at > bounds[int(request.request_id[:4], 16)]
    ]


async def send_requests_when_ready(limiter: Limiter, client: Client) -> None:
    """Wait until the front admits the limiter, then send requests."""
    await limiter.wait_until_ready()
    await send_requests(client)


async def send_requests(client: Client) -> None:
    """Send requests at a constant rate until cancelled."""
    requests = set()
    while True:
        request = asyncio.ensure_future(client.request())
        requests.add(request)
        request.add_done_callback(requests.discard)
        await asyncio.sleep(REQUEST_INTERVAL_SECONDS)


if __name__ == "__main__":
    run_case(str(FOLDER), case)
