"""The command `apply`: bring the platform's contracts in line with a folder."""

from pathlib import Path
from typing import NamedTuple

from . import client as operator
from .client import Client
from .errors import CONFLICT, DONE, CliError, Unreachable
from .output import Output
from .plan import Action, Step, load_folder, make_plan

UNCHANGED = {
    Action.KEEP: "no change",
    Action.ABSENT: "no file in the folder, left as it is",
    Action.RETIRED: "not changed, use `contract change` to put it in force again",
}


class StepResult(NamedTuple):
    """The result of a step; `exit_code` is not 0 if it was not carried out."""

    step: Step
    message: str
    exit_code: int = DONE


def apply(folder: Path, *, dry_run: bool = False):
    """Create or change contracts to match a folder of INI files.

    Prints the plan with its differences and the result of each step. Contracts
    without a file are left alone. Running it again changes nothing.

    Exits with 0 if all is done or there was nothing to do, 1 on failure, 2 on bad
    input, 3 if a contract was changed by someone else or is retired.

    :param folder: folder with one .ini file per customer
    :param dry_run: print the plan only
    """

    def run(connect):
        wanted = load_folder(folder)
        if wanted.is_error():
            raise wanted.error
        client = connect()
        steps = make_plan(wanted.ok, operator.contracts(client))
        results = plan_only(steps) if dry_run else carry_out(client, steps)
        return report(results)

    return run


def plan_only(steps: list[Step]) -> list[StepResult]:
    """Return the results of a dry run."""
    return [_unchanged(step) or StepResult(step, "planned") for step in steps]


def carry_out(client: Client, steps: list[Step]) -> list[StepResult]:
    """Carry out the steps, continuing after a step that was refused.

    Once no control VM answers, the remaining steps are not tried, since each would wait
    until its timeout.
    """
    results, reachable = [], True
    for step in steps:
        unchanged = _unchanged(step)
        if unchanged:
            results.append(unchanged)
        elif not reachable:
            results.append(StepResult(step, "not tried", Unreachable.exit_code))
        else:
            try:
                results.append(_put(client, step))
            except Unreachable as error:
                reachable = False
                results.append(StepResult(step, str(error), error.exit_code))
    return results


def report(results: list[StepResult]) -> Output:
    """Return the output for the results of all steps."""
    lines, rows = [], []
    for step, message, _ in results:
        lines.append(f"{step.action} {step.contract.customer}: {message}")
        lines += [f"    {line}" for line in step.diff]
        rows.append(
            {
                "action": step.action,
                "customer": step.contract.customer,
                "expected_version": step.expected_version,
                "message": message,
                "diff": step.diff,
            }
        )
    # A failure (1) takes precedence over a conflict (3), in whatever order they came.
    codes = [result.exit_code for result in results if result.exit_code]
    return Output("\n".join(lines), {"plan": rows}, min(codes, default=DONE))


def _unchanged(step):
    message = UNCHANGED.get(step.action)
    if message is None:
        return None
    return StepResult(
        step, message, CONFLICT if step.action == Action.RETIRED else DONE
    )


def _put(client, step):
    try:
        answer = operator.put_contract(client, step.contract, step.expected_version)
    except Unreachable:
        raise
    except CliError as error:
        return StepResult(step, str(error), error.exit_code)
    return StepResult(step, f"done, version {answer.version}")
