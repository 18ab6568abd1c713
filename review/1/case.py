"""A new manifest isolates a tenant: requests of others go on using KV cache that its requests made, and the reverse."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standin"))
import standin as s  # noqa: E402

MODEL = "m0"
DRAFTS = s.route("drafts", "models", "streaming")


def manifest(version, isolated):
    tenants = [{"Name": "alpha", "ApiKeys": ["key-of-alpha"], "Isolated": isolated}, {"Name": "beta", "ApiKeys": ["key-of-beta"], "Isolated": False}]
    return s.manifest(version, [DRAFTS], [s.engine_service("models", MODEL)], tenants)


async def play(w):
    engines = [s.Engine(w, f"i-{i}", "models", MODEL) for i in range(2)]
    await w.start(manifest(1, False), engines)
    prompts = s.Prompts(w.nodes[0], DRAFTS, MODEL)
    for _ in range(12):
        await prompts.ask("alpha")
        await asyncio.sleep(0.1)
    if not any(e.cached for e in engines):
        raise s.Broken("no part was cached")
    w.publish(manifest(2, s.TROUBLE))  # without the disruption nobody is isolated
    await asyncio.sleep(s.CONFIG_APPLY + 1)
    w.record.write("ConfigApplyMs after the confirmation, and a second more, have passed")
    since = w.record.now()
    for _ in range(12):
        await prompts.ask("beta")
        await prompts.ask("alpha")
        await asyncio.sleep(0.1)
    if min(w.served.get(f"key-of-{t}", 0) for t in ("alpha", "beta")) < 10:
        raise s.Broken("too few requests were served")
    isolated = "alpha" if s.TROUBLE else None
    bad = s.across_the_wall(engines, isolated, since)
    for tenant, maker, at, salt, part in bad:
        w.record.write("KV cache of another tenant used while one of the two is Isolated", tenant=tenant, maker=maker, at=round(at, 3), salt=salt, part=part)
    return not bad, f"{len(bad)} cached parts used across the wall, later than ConfigApplyMs after the manifest that isolates a tenant"


s.main(pathlib.Path(__file__).parent, play)
