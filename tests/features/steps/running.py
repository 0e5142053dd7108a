"""Steps that run the program as a separate process."""

from __future__ import annotations

import os
import subprocess
import sys

from behave import given, then, when

COMMAND_TIMEOUT_S = 60.0


def run_program(context, arguments):
    context.result = subprocess.run(
        [sys.executable, "-m", "eelgrassmount", *arguments],
        env={**os.environ, **context.variables},
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )


@given("the settings of a node")
def set_flags(context):
    for port, name in enumerate(("caller", "backend", "peer", "admin", "log"), 1):
        context.flags[f"{name}_address"] = f"127.1.0.1:{port}"
    context.flags["failure_domain"] = "bowbazar"


@given('the setting {name} is "{value}"')
def set_flag(context, name, value):
    context.flags[name] = value


@given("the setting {name} is left out")
def leave_out_flag(context, name):
    del context.flags[name]


@given('the variable {name} is "{value}"')
def set_variable(context, name, value):
    context.variables[name] = value


@given('the file "{name}"')
def write_file(context, name):
    path = context.folder / name
    path.write_text(context.text)
    context.names["file"] = str(path)


@when("the node is started")
def start_node(context):
    run_program(context, ["node", *(f"--{k}={v}" for k, v in context.flags.items())])


@when('the operator runs "{line}"')
def run_command(context, line):
    run_program(context, [word.format(**context.names) for word in line.split()])


@then("it ends with exit code {code:d}")
def check_code(context, code):
    assert context.result.returncode == code, context.result


@then('it prints one line with "{name}", "{value}" and "{allowed}"')
def check_line(context, name, value, allowed):
    lines = context.result.stderr.splitlines()
    assert len(lines) == 1, lines
    assert name in lines[0] and value in lines[0] and allowed in lines[0], lines


@then('it prints "{text}"')
def check_output(context, text):
    assert text in context.result.stdout, context.result


@then('it prints on standard error "{text}"')
def check_error_output(context, text):
    assert text in context.result.stderr, context.result
