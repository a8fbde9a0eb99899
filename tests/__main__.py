"""Runs the whole suite: ``python -m tests [MODULE_PART ...]``.

Tests are functions named ``test_*``; this loader passes them to ``unittest``.
A test named in ``KNOWN-RED.txt`` is run and printed, and does not fail the
run.
"""

from collections.abc import Iterator
import importlib
import inspect
import pathlib
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).parent
KNOWN_RED = ROOT.parent / "KNOWN-RED.txt"


def find_modules(parts: list[str]) -> Iterator[str]:
    """Yields the names of the test modules, sorted."""
    for path in sorted(ROOT.rglob("test_*.py")):
        relative = path.relative_to(ROOT.parent).with_suffix("")
        name = ".".join(relative.parts)
        if not parts or any(part in name for part in parts):
            yield name


def load_tests(names: Iterator[str]) -> unittest.TestSuite:
    """Collects the test functions of modules in a ``unittest`` suite."""
    suite = unittest.TestSuite()
    for name in names:
        module = importlib.import_module(name)
        for attribute, function in inspect.getmembers(
            module, inspect.isfunction
        ):
            if attribute.startswith("test_"):
                description = f"{name}.{attribute}"
                suite.addTest(
                    unittest.FunctionTestCase(function, description=description)
                )
    return suite


def read_known_red() -> set[str]:
    """Returns the names of tests that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.partition(":")[0].strip() for line in lines if line.strip()}


class TimedResult(unittest.TextTestResult):
    """Prints each test with its duration."""

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Records the start time."""
        self._started_s = time.monotonic()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Prints the duration."""
        elapsed_s = time.monotonic() - self._started_s
        if self.showAll:
            self.stream.writeln(f"    {elapsed_s:.1f} s")
        super().stopTest(test)


def main() -> int:
    """Runs the suite and prints ``N passed, N failed``."""
    suite = load_tests(find_modules(sys.argv[1:]))
    runner = unittest.TextTestRunner(verbosity=2, resultclass=TimedResult)
    outcome = runner.run(suite)
    failures = {
        test.shortDescription(): trace
        for test, trace in [*outcome.failures, *outcome.errors]
    }
    known_failures = read_known_red() & failures.keys()
    for name in sorted(known_failures):
        print(f"known red: {name}")
    failed = len(failures) - len(known_failures)
    passed = outcome.testsRun - len(failures)
    print(f"{passed} passed, {failed} failed", flush=True)
    return 1 if failed or not outcome.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
