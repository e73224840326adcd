"""Start of the HTTP server of a daemon."""

from aiohttp import web

SHUTDOWN_TIMEOUT_SECONDS = 2.0


async def start_server(app: web.Application, address: str) -> web.AppRunner:
    """Serve an application on ``ip:port`` and return its runner.

    Raises
    ------
    OSError
        If the address can't be bound.
    """
    host, _, port = address.rpartition(":")
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
    )
    await runner.setup()
    site = web.TCPSite(runner, host.strip("[]"), int(port))
    await site.start()
    return runner
