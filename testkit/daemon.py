"""Run a box and its stand-ins in the test's event loop, on ports chosen by the system."""

from __future__ import annotations

import contextlib
import os
from typing import TYPE_CHECKING, Any

from calicopath_clients.sessions import new_session
from calicopath_core.store.records import view_update
from calicopath_core.structure.keys import CONFIG_PREFIX
from calicopathd.box.runner import BoxRunner
from calicopathd.config.settings import SettingSource, load_settings
from calicopathd.logs import set_up_logs
from standins.engine import EngineSettings, EngineStandIn
from standins.platform import PlatformStandIn
from standins.service import ServiceStandIn
from standins.stagepool import StagePoolStandIn
from testkit.servers import serve_app
from testkit.world import SERVICES, TEMPLATES, pipeline_spec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp

ENGINE_SETTINGS = EngineSettings(
    concurrency=8, queue_limit=64, first_token_s=0.0, token_s=0.0, report_lag_s=0.1
)


class BoxStandIns:
    """Hold the stand-ins that a box talks to."""

    def __init__(self, *, url: str, session: aiohttp.ClientSession) -> None:
        self.url = url
        self.session = session
        self.platform = PlatformStandIn()
        self.engine = EngineStandIn(settings=ENGINE_SETTINGS)
        self.service = ServiceStandIn(name='desk', service_s=0.0)


@contextlib.asynccontextmanager
async def running_box(**flags: str) -> AsyncIterator[tuple[BoxRunner, BoxStandIns]]:
    """Yield a ready box with one endpoint of each kind and the pipelines `answer` and `act`."""
    set_up_logs(level='ERROR', json=True, box='box-1')
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(new_session())
        stand_ins = BoxStandIns(url='', session=session)
        await configure(stand_ins, stack)
        platform = await stack.enter_async_context(serve_app(stand_ins.platform.app()))
        values = {
            'box': 'box-1',
            'failure_domain': 'lahore-a',
            'platform': platform,
            'listen': '127.0.0.1:0',
            'leave_grace_s': '0',
            'seed': '1',
            **flags,
        }
        environment = {
            name: value for name, value in os.environ.items() if not name.startswith('CALICOPATH')
        }
        settings = load_settings(SettingSource(values, environment))
        runner = BoxRunner(settings=settings, session=session)
        runner.box.view.apply_all(
            view_update(item) for item in await runner.box.store.list(CONFIG_PREFIX)
        )
        await runner.box.feed.relist()
        await runner.start()
        stand_ins.url = f'http://{runner.address}'
        try:
            yield runner, stand_ins
        finally:
            await runner.stop()


async def configure(stand_ins: BoxStandIns, stack: contextlib.AsyncExitStack) -> None:
    """Start an endpoint of each kind and write the configuration to the platform's stand-in."""
    apps = {'drafting': stand_ins.engine.app(), 'desk': stand_ins.service.app()}
    documents: dict[str, dict[str, Any]] = {}
    for service, kind in SERVICES.items():
        pool = StagePoolStandIn(kind=kind.value, concurrency=8, service_s=0.0)
        url = await stack.enter_async_context(serve_app(apps.get(service) or pool.app()))
        documents[f'endpoints/{service}'] = {
            'kind': 'endpoint',
            'name': service,
            'service': service,
            'stage': kind.value,
            'address': url,
            'failure_domain': 'lahore-a',
            'concurrency': 8,
        }
    for name, template in TEMPLATES.items():
        documents[f'templates/{name}'] = template
        documents[f'pipelines/towpath/{name}'] = pipeline_spec(name)
    for version, (name, spec) in enumerate(documents.items(), start=1):
        key = CONFIG_PREFIX + name
        stand_ins.platform.objects[key] = {
            'key': key,
            'version': version,
            'value': {'spec': spec, 'change': {}},
        }
    stand_ins.platform.version = len(documents)
