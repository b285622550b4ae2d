/**
 * The names of the failures that the product tolerates. Scenarios and faults of the matrix list the
 * failures that they cause.
 */
import type { ValueOf } from '../../src/base/common/handlers.js';

export const FailureName = {
  EngineCrash: 'engineCrash',
  DaemonCrash: 'daemonCrash',
  WeightSwapFailure: 'weightSwapFailure',
  KeyWithdrawal: 'keyWithdrawal',
  Reclaim: 'reclaim',
  ControlPartition: 'controlPartition',
  RacingEdits: 'racingEdits',
  ResentEdit: 'resentEdit',
  SecondLoss: 'secondLoss',
  LateRestart: 'lateRestart',
  PoisonousRequest: 'poisonousRequest',
  SilentConnection: 'silentConnection',
  Combination: 'combination',
} as const;
export type FailureName = ValueOf<typeof FailureName>;
