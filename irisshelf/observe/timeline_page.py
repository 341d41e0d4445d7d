"""Renders the time line as one self-contained HTML page.

The page has a column per process and a text filter; a click on an event
restricts the view to its request. The events are embedded as JSON, so the page
makes no requests.
"""

from __future__ import annotations

import json
from collections.abc import Sequence

from irisshelf.observe import timeline

_DATA_PLACEHOLDER = "/*EVENTS*/[]"
_PAGE = """<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>irisshelf time line</title>
<style>
body { font: 14px system-ui, sans-serif; margin: 1rem; color: #222; }
header { position: sticky; top: 0; background: #fff; padding: .5rem 0;
  border-bottom: 1px solid #ccc; }
input { font: inherit; padding: .3rem; width: 24rem; max-width: 60vw; }
button { font: inherit; }
table { border-collapse: collapse; width: 100%; table-layout: fixed; }
th, td { text-align: left; vertical-align: top; padding: .15rem .4rem;
  border-bottom: 1px solid #eee; overflow-wrap: anywhere; }
th { position: sticky; top: 3.2rem; background: #f6f6f6; }
td.time { font-variant-numeric: tabular-nums; color: #555; }
.event { border-left: .3rem solid #888; padding-left: .4rem; cursor: pointer; }
.request, .answered { border-color: #2a7; }
.send, .forward { border-color: #27c; }
.retry, .resume, .cancel { border-color: #d90; }
.refused { border-color: #c22; }
.health, .membership, .instance, .platform { border-color: #83a; }
.bundle { border-color: #057; font-weight: 600; }
small { color: #555; }
</style>
</head>
<body>
<header>
<label>Filter <input id="filter" placeholder="any word of an event"></label>
<button id="all">Show all</button>
<span id="count" role="status"></span>
</header>
<table><thead id="head"></thead><tbody id="body"></tbody></table>
<script>
const events = /*EVENTS*/[];
const lanes = [...new Set(events.map(e => e.stamp.process))].sort();
const first = events.length ? events[0].stamp.wall_s : 0;
const filter = document.getElementById("filter");
const maxRows = 2000;
let request = "";

function cell(row, text, tag) {
  const element = document.createElement(tag || "td");
  element.textContent = text;
  row.append(element);
  return element;
}

function searchText(e) {
  return [e.kind, e.request, e.attempt, e.chat, e.engine,
    e.bundle ? "bundle " + e.bundle : "", e.detail, e.stamp.process].join(" ");
}

function matches(e) {
  if (request && e.request !== request) return false;
  return searchText(e).toLowerCase().includes(filter.value.toLowerCase());
}

function show() {
  const found = events.filter(matches);
  const body = document.getElementById("body");
  body.replaceChildren();
  for (const e of found.slice(0, maxRows)) {
    const row = document.createElement("tr");
    cell(row, "+" + (e.stamp.wall_s - first).toFixed(3) + " s").className =
      "time";
    for (const lane of lanes) {
      const laneCell = cell(row, "");
      if (lane !== e.stamp.process) continue;
      const box = document.createElement("div");
      box.className = "event " + e.kind;
      box.textContent = e.kind + " " + e.detail;
      const more = document.createElement("small");
      more.textContent = " " + [e.engine, e.bundle || "",
        e.request.slice(0, 8)].filter(Boolean).join(" ");
      box.append(more);
      box.title = searchText(e);
      box.onclick = () => { request = e.request; show(); };
      laneCell.append(box);
    }
    body.append(row);
  }
  const truncated = found.length > maxRows ?
    ", the first " + maxRows + " shown" : "";
  document.getElementById("count").textContent =
    found.length + " of " + events.length + " events" + truncated +
    (request ? ", request " + request.slice(0, 8) : "");
}

const head = document.createElement("tr");
cell(head, "time", "th");
lanes.forEach(lane => cell(head, lane, "th"));
document.getElementById("head").append(head);
filter.oninput = show;
document.getElementById("all").onclick = () => {
  request = ""; filter.value = ""; show();
};
show();
</script>
</body>
</html>
"""


def render(events: Sequence[timeline.Event]) -> str:
    """Returns the HTML page that shows events in the given order.

    Args:
        events: Events, as returned by ``timeline.merge``.

    See Also:
        timeline.merge: Merges events into causal order.
    """
    data = json.dumps([timeline.encode(event) for event in events])
    # Escapes "<" so that "</script>" in an event does not end the script.
    return _PAGE.replace(_DATA_PLACEHOLDER, data.replace("<", "\\u003c"))
