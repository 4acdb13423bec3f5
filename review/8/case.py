"""A translator is killed and started again; then another caller uses a key that came before, with another body."""

import signal
import sys
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
    ask_scgi,
    free_port,
    main,
    scgi_body,
    scgi_status,
)

WINDOW_S = 27.783
KEYS = [f"order-{number}" for number in range(1, 9)]


async def case(record, home: Path) -> list[str]:
    """Play it and return what broke the rules."""
    server = await NewServer(record, "s0", WINDOW_S, lambda request: 0.1).start()
    port = free_port()
    (home / "deploy").mkdir()
    (home / "deploy/mapping.toml").write_text(MAPPING)
    (home / "deploy/translate.toml").write_text(
        f'mapping = "deploy/mapping.toml"\njournal = "journal.db"\nscgi = "127.0.0.1:{port}"\n'
        '[[classes]]\nname = "full-report"\naim_ms = 3500\nlimit_ms = 12000\n'
        '[[classes]]\nname = "paid-check"\naim_ms = 3500\nlimit_ms = 9300\neffect = "keyed"\nworth = 4.0\n'
        f'window_ms = 27783\n[[servers]]\nname = "s0"\naddress = "127.0.0.1:{server.port}"\nboot = 1\n'
    )
    command = f"exec {FULL_PYTHON} -B -m sagetrestle translate --file {home}/deploy/translate.toml"

    async def start(name: str) -> Program:
        program = await Program(record, name).start(command, {"TMPDIR": str(home)}, ROOT)
        await program.logged("scgi front listens")
        await program.logged("kernel up")
        return program

    async def ask(caller: str, key: str, applicant: str) -> tuple[int, bytes]:
        headers = {"HTTP_IDEMPOTENCY_KEY": key, "HTTP_X_CALLER": caller}
        record.line(f"{caller}: paid-check {key} of {applicant} is sent")
        data = await ask_scgi(port, "paid-check", f"applicant={applicant}\n".encode(), headers)
        record.line(f"{caller}: paid-check {key} of {applicant}: {scgi_status(data)} {scgi_body(data)!r}")
        return scgi_status(data), scgi_body(data)

    translator, broken, same, conflicts = await start("translator"), [], 0, 0
    try:
        first = {key: await ask("portal-a", key, f"mona-{key}") for key in KEYS}
        if any(status != 200 for status, _ in first.values()):
            raise CannotRun("a first charge was not served")
        if TROUBLE:
            await translator.end(signal.SIGKILL)
            record.line("translator: killed")
            translator = await start("translator, again")
        for key in KEYS:
            status, body = await ask("portal-b", key, f"omar-{key}")
            if status == 200 and f"omar-{key}".encode() not in body:
                broken.append(f"key {key} with another body: 409 is due; 200 came, with the result {body!r}")
            conflicts += status == 409
            same += await ask("portal-a", key, f"mona-{key}") == first[key]
    finally:
        await translator.end(signal.SIGTERM)
        server.close()
    text = f"{len(KEYS)} keys, each again with another body: {conflicts} times 409, {len(broken)} times a foreign "
    text += f"result; again with the same body: {same} times the result of the first; {len(server.ran)} charges ran"
    record.line(text)
    print(text)
    return broken


main(case, Path(__file__).resolve().parent)
