/**
 * Formats the timeline as one self-contained HTML page: one row per event, one lane per process,
 * and a search box that filters the rows. All event text is escaped, and no external resource is
 * loaded.
 */
import type { TimelineEvent } from '../../../infrastructure/timeline/common/timelineEvent.js';

const htmlEscapes: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

/** Escapes text for use in element content and in quoted attributes. */
export const escapeHtml = (text: string): string =>
  text.replace(/[&<>"']/g, (character) => htmlEscapes[character]!);

const laneWidthPixels = 22;
const fullCircleDegrees = 360;

const style = `
body { font: 13px/1.4 system-ui, sans-serif; margin: 0; color: #222; }
header { position: sticky; top: 0; background: #fff; border-bottom: 1px solid #bbb; padding: 8px 12px; }
input { width: 360px; font: inherit; padding: 3px 6px; }
ul { list-style: none; margin: 6px 0 0; padding: 0; display: flex; flex-wrap: wrap; gap: 2px 14px; }
i { display: inline-block; width: 10px; height: 10px; border-radius: 5px; }
main div { display: grid; grid-template-columns: 110px var(--lanes) 150px 170px 1fr; gap: 8px;
  padding: 1px 12px; content-visibility: auto; contain-intrinsic-size: auto 20px; }
main div:nth-child(even) { background: #f6f6f6; }
main div[hidden] { display: none; }
code { font: 12px ui-monospace, monospace; overflow-wrap: anywhere; }
s { display: block; text-decoration: none; border-left: 1px solid #ddd; }
`;

const script = `
const box = document.querySelector('input');
const count = document.querySelector('output');
const rows = [...document.querySelectorAll('main div')];
const texts = rows.map((row) => row.textContent.toLowerCase());
const show = () => {
  const words = box.value.toLowerCase().split(' ').filter((word) => word !== '');
  let shown = 0;
  rows.forEach((row, index) => {
    row.hidden = !words.every((word) => texts[index].includes(word));
    if (!row.hidden) shown += 1;
  });
  count.textContent = shown + ' of ' + rows.length + ' events';
};
box.addEventListener('input', show);
show();
`;

const computeColour = (lane: number, lanes: number): string =>
  `hsl(${Math.round((lane * fullCircleDegrees) / lanes)} 70% 42%)`;

const formatTime = (wall: number): string => {
  // eslint-disable-next-line no-restricted-syntax -- formats a given time, reads no clock
  const text = new Date(wall).toISOString();
  return text.slice(text.indexOf('T') + 1, -1);
};

const formatSubject = ({ subject }: TimelineEvent): string =>
  Object.entries(subject)
    .map(([name, value]) => `${name}=${value}`)
    .join(' ');

const formatRow = (event: TimelineEvent, processes: readonly string[]): string => {
  const lane = processes.indexOf(event.process);
  const offset = lane * laneWidthPixels;
  const dot = `<i style="margin-left:${offset}px;background:${computeColour(lane, processes.length)}"></i>`;
  const cells = [
    `<code>${formatTime(event.stamp.wall)}</code>`,
    `<s>${dot}</s>`,
    `<span>${escapeHtml(event.process)}</span>`,
    `<b>${escapeHtml(event.kind)}</b>`,
    `<code>${escapeHtml(formatSubject(event))}</code>`,
  ];
  return `<div>${cells.join('')}</div>`;
};

const formatLegend = (processes: readonly string[]): string =>
  processes
    .map((process, lane) => {
      const dot = `<i style="background:${computeColour(lane, processes.length)}"></i>`;
      return `<li>${dot} ${escapeHtml(process)}</li>`;
    })
    .join('');

const contentPolicy = "default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'";

/** Formats the page; events must be in order. */
export const formatTimelinePage = (events: readonly TimelineEvent[]): string => {
  const processes = [...new Set(events.map(({ process }) => process))].sort();
  const lanes = Math.max(1, processes.length) * laneWidthPixels;
  return [
    '<!doctype html>',
    '<html lang="en"><head><meta charset="utf-8"><title>Timeline</title>',
    `<meta http-equiv="Content-Security-Policy" content="${contentPolicy}">`,
    `<style>:root { --lanes: ${lanes}px; }${style}</style></head><body>`,
    '<header><label>Filter <input type="search" placeholder="words that a row must have"></label>',
    `<output></output><ul>${formatLegend(processes)}</ul></header>`,
    `<main>${events.map((event) => formatRow(event, processes)).join('\n')}</main>`,
    `<script>${script}</script></body></html>`,
    '',
  ].join('\n');
};
