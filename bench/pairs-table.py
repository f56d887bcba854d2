#!/usr/bin/env python3
"""Prints the reports of bench/pairs.sh: worth of each way a day, and differences to the first way.

Use: bench/pairs-table.py OUT WAY...    the first WAY is the one that stands
"""
import pathlib
import re
import statistics
import sys


def read(report):
    """Reads worth and whether a rule was broken; None while a play is under way."""
    text = report.read_text(errors="replace")
    row = re.search(r"^\S+ +\d+/\d+ +[\d.]+ +(-?[\d.]+) .*$", text, re.M)
    return (float(row.group(1)), "BROKEN" in row.group(0)) if row else None


def main():
    out, ways = pathlib.Path(sys.argv[1]), sys.argv[2:]
    days = {}
    for report in sorted(out.glob("*.out")):
        way, day = report.stem.split(".", 1)
        found = read(report)
        if found:
            days.setdefault(day, {})[way] = found
    print("day".ljust(48) + "".join(way.rjust(16) for way in ways))
    for day, played in sorted(days.items()):
        cells = []
        for way in ways:
            worth, broken = played.get(way, (None, False))
            cells.append("-" if worth is None else f"{worth:.3f}" + (" broken" if broken else ""))
        print(day.ljust(48) + "".join(cell.rjust(16) for cell in cells))
    for way in ways[1:]:
        both = [d[way][0] - d[ways[0]][0] for d in days.values() if way in d and ways[0] in d]
        if both:
            spread = statistics.stdev(both) if len(both) > 1 else 0.0
            print(f"{way}: {statistics.mean(both):+.3f} on average of {len(both)}, spread {spread:.3f}")


if __name__ == "__main__":
    main()
