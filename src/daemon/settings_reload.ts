/** Applies changes of the settings file while the node runs. */
import * as util from 'node:util';

import * as decision from '../common/serving/decision.js';
import * as generated from '../generated/node_settings.js';
import type * as nodeSettings from '../node/serving/node_settings.js';
import * as settings from '../node/settings.js';
import * as daemonSettings from './daemon_settings.js';

/** Poll interval of the settings file in ms; it may change without a signal. */
const POLL_MS = 1_000;

/** Fields that a running node takes over; the others stay as at its start. */
const APPLIED_FIELDS: ReadonlySet<string> = new Set(['service', 'server']);

/** Fields whose members are named one by one in the log. */
const OBJECT_FIELDS: ReadonlySet<string> = new Set(['listen', 'bounds']);

/** Dependencies of `SettingsReload`. */
export interface SettingsReloadOptions {
  /** Path of the settings file. */
  readonly path: string;
  /** The file with which the node was started. */
  readonly initial: nodeSettings.SettingsFile;
  /** Applies settings; those of before stay if it throws. */
  readonly apply: (changed: generated.NodeSettings) => void;
  readonly note: (event: string, facts: decision.Facts) => void;
}

/**
 * Reads the settings file again when it changes. Settings that are refused are read again at each
 * poll until they are applied; any error is logged, and again when it changes.
 */
export class SettingsReload implements Disposable {
  private appliedText: string;
  private refusal: string | undefined;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly options: SettingsReloadOptions) {
    this.appliedText = options.initial.text;
    this.timer = setInterval(() => this.poll(), POLL_MS);
  }

  /** Reads and applies the file, also if it has not changed. */
  reload(): void {
    this.refusal = undefined;
    this.attempt(() => this.apply(settings.readText(this.options.path)));
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }

  private poll(): void {
    this.attempt(() => {
      const text = settings.readText(this.options.path);
      if (text !== this.appliedText) this.apply(text);
      this.refusal = undefined;
    });
  }

  private attempt(read: () => void): void {
    try {
      read();
    } catch (err) {
      const faults = settings.describeError(err);
      if (faults === this.refusal) return;
      this.refusal = faults;
      this.options.note('reload-refused', {faults});
    }
  }

  private apply(text: string): void {
    const {path, initial, apply, note} = this.options;
    const {settings: changed, faults} = daemonSettings.parseSettings(
      path,
      text,
    );
    const {service, server} = changed;
    apply({...initial.settings, service, server});
    if (faults.length > 0 && text !== this.appliedText) {
      note('settings-adjusted', {faults: settings.describeFaults(faults)});
    }
    this.appliedText = text;
    const fields = unappliedChanges(initial.settings, changed);
    if (fields.length > 0) {
      note('reload-not-applied', {fields: fields.join(',')});
    }
  }
}

/** Names the fields that differ from those at the start and stay as they are until the next one. */
function unappliedChanges(
  running: generated.NodeSettings,
  changed: generated.NodeSettings,
): readonly string[] {
  const runningFields = fieldsOf(running);
  const changedFields = fieldsOf(changed);
  const names = new Set([...runningFields.keys(), ...changedFields.keys()]);
  return [...names].filter(
    name =>
      !APPLIED_FIELDS.has(name) &&
      !util.isDeepStrictEqual(runningFields.get(name), changedFields.get(name)),
  );
}

function fieldsOf(
  document: generated.NodeSettings,
): ReadonlyMap<string, unknown> {
  const fields = Object.entries(document).flatMap(([name, value]) =>
    OBJECT_FIELDS.has(name)
      ? Object.entries(value).map(([member, inner]): [string, unknown] => [
          `${name}.${member}`,
          inner,
        ])
      : [[name, value] as [string, unknown]],
  );
  return new Map(fields);
}
