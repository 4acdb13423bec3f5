"""A translator's connection to its server falls quiet and stays open; what was sent on it arrives seconds later."""

import asyncio
import signal
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import (
    FULL_PYTHON,
    MAPPING,
    ROOT,
    TROUBLE,
    CannotRun,
    NewServer,
    Program,
    Relay,
    ask_scgi,
    free_port,
    main,
    scgi_body,
    scgi_status,
)

WINDOW_S = 27.783
QUIET_S = 7.0
CHARGES = 24  # while the connection is quiet
SPREAD_S = 1.0  # over which they come


async def case(record, home: Path) -> list[str]:
    """Play it and return what broke the rules."""
    server = await NewServer(record, "s0", WINDOW_S, lambda request: 0.4).start()
    path = await Relay(server.port).start()
    port = free_port()
    (home / "deploy").mkdir()
    (home / "deploy/mapping.toml").write_text(MAPPING)
    (home / "deploy/translate.toml").write_text(
        f'mapping = "deploy/mapping.toml"\njournal = "journal.db"\nscgi = "127.0.0.1:{port}"\n'
        '[[classes]]\nname = "full-report"\naim_ms = 3500\nlimit_ms = 12000\nworth = 2.0\n'
        '[[classes]]\nname = "paid-check"\naim_ms = 3500\nlimit_ms = 9300\neffect = "keyed"\nworth = 4.0\n'
        f'window_ms = 27783\n[[servers]]\nname = "s0"\naddress = "127.0.0.1:{path.port}"\nboot = 1\n'
    )
    command = f"exec {FULL_PYTHON} -B -m sagetrestle translate --file {home}/deploy/translate.toml"
    translator = await Program(record, "translator").start(command, {"TMPDIR": str(home)}, ROOT)
    await translator.logged("scgi front listens")
    await translator.logged("kernel up")

    async def ask(number: int) -> tuple[int, str, bytes]:
        headers = {"HTTP_IDEMPOTENCY_KEY": f"order-{number}", "HTTP_X_CALLER": f"portal-{number % 6}"}
        record.line(f"portal: order-{number} is sent")
        data = await ask_scgi(port, "paid-check", f"applicant=mona-{number}\n".encode(), headers)
        record.line(f"portal: order-{number}: {scgi_status(data)} {scgi_body(data)!r}")
        return scgi_status(data), f"mona-{number}", scgi_body(data)

    try:
        warm = await asyncio.gather(*(ask(number) for number in range(1000, 1010)))
        if {status for status, *_ in warm} != {200}:
            raise CannotRun(f"the first charges were not served: {warm}")
        if TROUBLE:
            record.line(f"path: {path.hold()} connections fall quiet")
        began, tasks = time.monotonic(), []
        for number in range(CHARGES):
            tasks.append(asyncio.create_task(ask(number)))
            await asyncio.sleep(SPREAD_S / CHARGES)
        await asyncio.sleep(max(0.0, began + QUIET_S - time.monotonic()))
        if TROUBLE:
            record.line("path: what was held goes on")
            path.release()
        answers = await asyncio.gather(*tasks)
        await asyncio.sleep(1.5)
    finally:
        await translator.end(signal.SIGTERM)
        path.close()
        server.close()
    ran = Counter(who for _, who, _ in server.ran)
    refused = [who for status, who, _ in answers if status == 503]
    counts, told = dict(Counter(status for status, *_ in answers)), sum(who in ran for who in refused)
    text = f"{CHARGES} charges: {counts}, {sum(who in ran for _, who, _ in answers)} ran; of {len(refused)} that "
    text += f"got 503, 'this try never ran', {told} ran"
    record.line(text)
    print(text)
    return [
        *(f"the charge of {who} got 503, 'this try never ran', and ran" for who in refused if who in ran),
        *(f"the charge of {who} ran {count} times" for who, count in ran.items() if count > 1),
    ]


main(case, Path(__file__).resolve().parent)
