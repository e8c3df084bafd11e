#!/usr/bin/env python3
"""Makes site files for trials beside this script, from a kit of the operators: `make.py KIT`.

Each NAME.changes here names a source in the kit and lists what differs from it, a line each:

    source sites/lowell-main.toml      the file it starts from; the first line
    set class[0].aim_ms = 90           a key that the source has; [N] counts the tables of that name
    add fam.plan[1].limit = 4          a key that the source has not

The site files and what has to lie beside them (real.json, wire.json, unlock.txt) are not committed.
"""
import pathlib
import re
import shutil
import sys

BESIDE = ("real.json", "wire.json", "unlock.txt")


def fail(text):
    sys.exit("make.py: " + text)


def tables(lines):
    """For each line the table that it stands in, such as class[0] or fam.plan[1]."""
    seen, name, found = {}, "", []
    for line in lines:
        many = re.fullmatch(r"\[\[([\w.]+)\]\]\s*", line)
        one = re.fullmatch(r"\[([\w.]+)\]\s*", line)
        if many:
            number = seen[many[1]] = seen.get(many[1], -1) + 1
            name = f"{many[1]}[{number}]"
        elif one:
            name = one[1]
        found.append(name)
    return found


def change(lines, where, kind, path, value):
    table, _, key = path.rpartition(".")
    at = tables(lines)
    if table not in at:
        fail(f"{where}: the source has no table {table or '(top)'}")
    here = [i for i, name in enumerate(at) if name == table]
    found = [i for i in here if re.match(rf"{re.escape(key)}\s*=", lines[i])]
    if kind == "set" and not found:
        fail(f"{where}: the source has no key {path}; allowed are keys that it has")
    if kind == "add" and found:
        fail(f"{where}: the source has {path} already; set changes it")
    if kind == "set":
        lines[found[0]] = f"{key} = {value}\n"
    else:
        first = here[0] + (1 if table else 0)
        lines.insert(first, f"{key} = {value}\n")


def make(kit, file):
    words = [line.strip() for line in file.read_text().splitlines()]
    lines, source = None, None
    for number, line in enumerate(words, 1):
        where = f"{file.name}:{number}"
        if not line or line.startswith("#"):
            continue
        if line.startswith("source "):
            source = kit / line.split(maxsplit=1)[1]
            if not source.is_file():
                fail(f"{where}: no file {source}")
            lines = source.read_text().splitlines(keepends=True)
            continue
        parts = re.fullmatch(r"(set|add) ([\w.\[\]]+) = (.+)", line)
        if not parts or lines is None:
            fail(f"{where}: not understood; allowed are source FILE first, then set KEY = VALUE and add KEY = VALUE")
        change(lines, where, *parts.groups())
    if lines is None:
        fail(f"{file.name}: no source")
    return "".join(lines), source.parent


def main():
    if len(sys.argv) != 2:
        fail("one argument: the folder of the operators' kit")
    kit, here = pathlib.Path(sys.argv[1]), pathlib.Path(__file__).resolve().parent
    if not kit.is_dir():
        fail(f"no folder {kit}")
    for file in sorted(here.glob("*.changes")):
        text, beside = make(kit, file)
        (here / (file.stem + ".toml")).write_text(text)
        for name in BESIDE:
            if not (beside / name).is_file():
                fail(f"no file {beside / name}")
            shutil.copyfile(beside / name, here / name)
        print(f"{file.stem}.toml")


main()
