"""The platform's names stay in the folder that translates."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent.parent
PACKAGES = ROOT / "packages"
FOLDER = PACKAGES / "radishd/src/radishd/platform"
# Names of headers, fields and calls that only the platform has.
NAMES = re.compile(
    r"x-attempt-id|x-server-signature|x-target-instance|x-not-executed"
    r"|x-instance-id|x-expected-version|x-deadline-ms|x-prompt-prefix"
    r"|pathprefix|gaptargetms|maxattempts|fencingtoken|adapterslots"
    r"|kvcapacity|coldremainingms|hasmore|/-/",
    re.IGNORECASE,
)


def test_platform_names_occur_only_in_the_platform_folder() -> None:
    """Stand-ins speak for the platform, so they may."""
    found = []
    for path in PACKAGES.rglob("*.py"):
        if FOLDER in path.parents or "standins" in path.parts:
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if NAMES.search(line):
                found.append(f"{path.relative_to(ROOT)}:{number}: {line}")
    assert not found, "\n".join(found)


def test_the_platform_folder_stays_small() -> None:
    """It translates; what decides belongs outside."""
    lines = sum(
        len(path.read_text().splitlines()) for path in FOLDER.glob("*.py")
    )
    assert lines < 1_200, lines
