"""Commands that create and take away keys of workspaces."""

from __future__ import annotations

import secrets
import sys
import typing

import click

from sassafraslock import cli_options, client, errors, output, workspaces

KEY_BYTES = 24


@click.group(name="key")
def key_group() -> None:
    """Create and take away keys of workspaces; the settings hold their digests only."""


def _digest(key: str) -> str:
    return workspaces.digest_key(key.encode()).hex()


def _path(workspace: str) -> str:
    return f"/system/workspaces/{workspace}/key_digests"


@key_group.command(name="create")
@click.argument("workspace")
@cli_options.ENTRY
@cli_options.TOKEN
@cli_options.FORMAT
def key_create(workspace: str, address: str, token: str, form: output.OutputFormat) -> None:
    """Give a workspace one more key, and show it this once.

    Example: sassafraslock key create office
    \f

    :param workspace: the name of the workspace.
    :param address: the operators' address of any entry.
    :param token: the operator token.
    :param form: the output format.
    """
    key = secrets.token_urlsafe(KEY_BYTES)
    digest = _digest(key)
    path = _path(workspace)
    result = client.Client(address, token).change(path, lambda old: [*(old or []), digest])
    if not isinstance(result, errors.Refusal):
        result = {
            "workspace": workspace,
            "key": key,
            "digest": digest,
            "revision": result["revision"],
        }
    output.print_result_or_exit(result, form)


@key_group.command(name="remove")
@click.argument("workspace")
@click.argument("digest", required=False, default="")
@cli_options.ENTRY
@cli_options.TOKEN
@cli_options.FORMAT
def key_remove(
    workspace: str, digest: str, address: str, token: str, form: output.OutputFormat
) -> None:
    """Take away the key with a digest from a workspace, or all its keys.

    Example: sassafraslock key remove office
    \f

    :param workspace: the name of the workspace.
    :param digest: the digest of the key; empty for all keys.
    :param address: the operators' address of any entry.
    :param token: the operator token.
    :param form: the output format.
    """
    removed: list[str] = []

    def edit(old: typing.Any) -> typing.Any:
        removed.extend(d for d in old or [] if digest in ("", d))
        return [d for d in old or [] if d not in removed]

    result = client.Client(address, token).change(_path(workspace), edit)
    if not isinstance(result, errors.Refusal):
        result = {"workspace": workspace, "removed": removed, "revision": result["revision"]}
    output.print_result_or_exit(result, form)


@key_group.command(name="digest")
def key_digest() -> None:
    """Show the digest of the key on standard input, so that the key is no argument.

    Example: sassafraslock key digest < key.txt
    \f
    """
    click.echo(_digest(sys.stdin.readline().rstrip("\r\n")))
