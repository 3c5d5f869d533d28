/** Order of the phases of a roll-out. */
import * as serving from '../../generated/serving.js';

const {RolloutPhase} = serving;

/** Phases from the first to the last; nothing leads back. */
const ORDER: readonly serving.RolloutPhase[] = [
  RolloutPhase.CANARY,
  RolloutPhase.MOVING,
  RolloutPhase.CLOSING,
  RolloutPhase.ROLLING_BACK,
  RolloutPhase.DONE,
  RolloutPhase.ROLLED_BACK,
];

/** Returns the number of phases before a phase. */
export function rankOf(phase: serving.RolloutPhase): number {
  return ORDER.indexOf(phase);
}

/** Whether the target version is bad by a verdict. */
export function isRollback(phase: serving.RolloutPhase): boolean {
  return (
    phase === RolloutPhase.ROLLING_BACK || phase === RolloutPhase.ROLLED_BACK
  );
}

/** Whether the gates of all but the target version are closed. */
export function isMoved(phase: serving.RolloutPhase): boolean {
  return phase === RolloutPhase.CLOSING || phase === RolloutPhase.DONE;
}
