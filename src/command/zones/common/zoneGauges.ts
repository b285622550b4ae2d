/**
 * Reads the evacuated availability zones from the text of a metrics page.
 */
import { err, ok, type Result } from 'neverthrow';

/** An evacuated zone as one daemon shows it. */
export interface ShownZone {
  readonly zone: string;
  /** Time of the operator's request in milliseconds since the Unix epoch. */
  readonly since: number;
  /** Requests of this daemon that still run there. */
  readonly running: number;
}

const gaugePattern =
  /^shallotquay_places_(evacuated_since|running_in_evacuated_zone)\{zone="([^"]*)"\} (\S+)$/gm;

type Gauge = 'evacuated_since' | 'running_in_evacuated_zone';

/**
 * Returns the evacuated zones of a page in its order, or a message with a remedy if the page shows no
 * zones.
 */
export const readZoneGauges = (page: string): Result<readonly ShownZone[], string> => {
  const values = new Map<string, Map<Gauge, number>>();
  [...page.matchAll(gaugePattern)].forEach(([, gauge, zone, value]) => {
    const gauges = values.get(zone!) ?? new Map<Gauge, number>();
    values.set(zone!, gauges.set(gauge as Gauge, Number(value)));
  });
  if (values.size === 0) {
    return err(
      'The page shows no zones; use the address of a metrics page, and check that the settings allow evacuations.',
    );
  }
  const shown = [...values].map(([zone, gauges]) => ({
    zone,
    since: (gauges.get('evacuated_since') ?? 0) * 1_000,
    running: gauges.get('running_in_evacuated_zone') ?? 0,
  }));
  return ok(shown.filter(({ since }) => since > 0));
};

/**
 * Formats the zones that several daemons show, one line each; the running requests are added up.
 * `formatTime` takes milliseconds since the Unix epoch.
 */
export const formatZones = (
  pages: readonly (readonly ShownZone[])[],
  formatTime: (time: number) => string,
): string => {
  const zones = [...new Set(pages.flat().map(({ zone }) => zone))].sort();
  if (zones.length === 0) return 'no zone is evacuated\n';
  return zones
    .map((zone) => {
      const rows = pages.flat().filter((row) => row.zone === zone);
      const since = formatTime(Math.min(...rows.map((row) => row.since)));
      const running = rows.reduce((sum, row) => sum + row.running, 0);
      return `${zone} evacuated since ${since}, ${running} requests running there, known to ${rows.length} of ${pages.length} daemons\n`;
    })
    .join('');
};
