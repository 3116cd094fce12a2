"""The store comes back from an older copy: what nodes believe, and whom they serve."""

import asyncio
import itertools

from tests.platform_adapter.test_processes import ask, eventually, with_deployment
from tests.platform_adapter.test_store import Followed
from tests.platform_adapter.test_store import eventually as soon

# Writes of others between what a test looks at; they raise the store's version.
OTHERS = 40
# Long enough for a node to take in what it will use at once.
SETTLED_S = 1.0


def write_others(store, count=OTHERS):
    for number in range(count):
        store.write("others", f"o-{number}", {"n": number})


def test_rows_under_versions_that_are_given_out_again_are_read():
    """The store is away for a moment and comes back from a copy.

    Its versions went back. By the time that the watch asks again they have passed the
    one that it had read, so that the store answers with later changes only: the row
    that was written in between was never read. Pools stayed without that upstream.
    """

    async def story():
        async with Followed() as one:
            one.store.write("servers", "i-1", {"n": 1})
            copy = one.store.take_copy()
            write_others(one.store)
            one.store.write("servers", "i-2", {"n": 2})
            await soon(lambda: set(one.rows) == {"i-1", "i-2"})
            one.store.restore(copy)
            one.store.write("servers", "i-3", {"n": 3})
            write_others(one.store, 2 * OTHERS)
            await soon(lambda: set(one.rows) == {"i-1", "i-3"})

    asyncio.run(story())


def test_list_of_the_restored_store_is_taken(tmp_path):
    """Versions of the restored store are lower than those that the nodes have.

    Nodes order lists by version, so they dropped each list of the restored store until
    its versions had passed the ones from before: an upstream that came meanwhile got
    no request, and one that had gone got them still.
    """

    async def story(deployment):
        copy = deployment.store.take_copy()
        write_others(deployment.store)
        deployment.list_worker("service-1")
        await asyncio.sleep(SETTLED_S)
        deployment.store.restore(copy)
        await deployment.replace_worker("service-0")

        numbers = itertools.count(1)

        async def is_used():
            for address in deployment.callers:
                await ask(address, next(numbers))
            return bool(deployment.worker("service-0").seen)

        await eventually(is_used, "the upstream that came is used")

    with_deployment(tmp_path, story)


def test_upstream_that_had_left_is_not_called_when_the_copy_lists_it(tmp_path):
    """An upstream leaves, then the store comes back from a copy that still lists it.

    Its row is as it was before: "ready". Requests went to an address at which nobody
    of that name is, or, as here, to an upstream that had said that it takes no more.
    """

    async def story(deployment):
        gone = deployment.worker("service-0")
        copy = deployment.store.take_copy()
        write_others(deployment.store)
        deployment.store.write("servers", gone.instance, None)
        await asyncio.sleep(SETTLED_S)
        before = len(gone.seen)
        deployment.store.restore(copy)
        await asyncio.sleep(SETTLED_S)
        write_others(deployment.store, 2 * OTHERS)
        deployment.list_worker("service-1")
        await asyncio.sleep(SETTLED_S)
        for number in range(60):
            address = deployment.callers[number % len(deployment.callers)]
            assert (await ask(address, number))[0] == 200
        assert len(gone.seen) == before

    with_deployment(tmp_path, story)
