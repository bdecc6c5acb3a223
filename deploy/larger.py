#!/usr/bin/env python3
"""Writes a larger copy of a site file of the users' bench, to play days of our own at size.

    deploy/larger.py SITE.toml OUT_DIR --entry 2 --vms 2.73

Entry VMs (with their spares) are multiplied by `--entry`, worker VMs, demand and the sizes of waves by `--vms`.
The copy lies in OUT_DIR beside the site's wire.json. Neither belongs into this repository.
"""
import argparse
import pathlib
import re
import shutil


def multiplied(match: re.Match, factor: float, digits: int) -> str:
    """The matched number times a factor, its name unchanged."""
    value = float(match.group(2)) * factor
    return match.group(1) + (f"{value:.{digits}f}" if digits else str(round(value)))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("out", type=pathlib.Path)
    parser.add_argument("--entry", type=float, default=2.0)
    parser.add_argument("--vms", type=float, default=2.73)
    args = parser.parse_args()

    lines = []
    for line in args.site.read_text().splitlines():
        if 'class = "front"' in line and not line.startswith("small"):
            line = re.sub(r"(\b(?:count|spare) = )(\d+)", lambda m: multiplied(m, args.entry, 0), line)
        elif "servers = [" in line:
            line = re.sub(r"(\bcount = )(\d+)", lambda m: multiplied(m, args.vms, 0), line)
        elif "per_s = " in line and "mix = " in line:
            line = re.sub(r"(\bper_s = )([\d.]+)", lambda m: multiplied(m, args.vms, 2), line)
            line = re.sub(r"(\bclients = )(\d+)", lambda m: multiplied(m, args.vms, 0), line)
        lines.append(line)
    args.out.mkdir(parents=True, exist_ok=True)
    (args.out / args.site.name).write_text("\n".join(lines) + "\n")
    shutil.copy(args.site.parent / "wire.json", args.out)


if __name__ == "__main__":
    main()
