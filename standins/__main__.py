"""Run one stand-in as a process: ``python -m standins KIND ADDRESS JSON``.

KIND is ``engine``, ``service`` or ``platform``; any other word starts the
fault-injecting proxies. ADDRESS is ``host:port``. JSON holds the options, or
the routes of the proxies.
"""

import sys

import orjson
import uvloop

from standins.engine import EngineOptions, run_engine
from standins.fault_proxy import run_proxies
from standins.platform import PlatformOptions, run_platform
from standins.service import ServiceOptions, run_service


def main() -> None:
    """Run the stand-in given on the command line until it is cancelled."""
    kind, address, text = sys.argv[1:4]
    host, port = address.rsplit(':', 1)
    options = orjson.loads(text)
    if kind == 'engine':
        options['models'] = tuple(options.get('models', ('m1',)))
        runner = run_engine(EngineOptions(**options), host, int(port))
    elif kind == 'service':
        runner = run_service(ServiceOptions(**options), host, int(port))
    elif kind == 'platform':
        runner = run_platform(PlatformOptions(**options), host, int(port))
    else:
        runner = run_proxies(options, host, int(port))
    uvloop.run(runner)


main()
