/**
 * The stand-ins for the external systems of the product, for tests, the demo and benchmarks.
 */
export { startEngine, type EngineStandIn } from './engine/engine.js';
export type { EngineSettings } from './engine/engineSettings.js';
export { RequestState, type EngineRequestRow } from './engine/engineTables.js';
export { textBetween, tokenAt, tokenCountOf } from './engine/engineText.js';
export { FaultKind, type Fault } from './faults/faults.js';
export type { FaultScriptEntry } from './faults/faultScript.js';
export { startOrdering, type OrderingSettings, type OrderingStandIn } from './ordering/ordering.js';
export { startPlain, type PlainSettings, type PlainStandIn } from './plain/plain.js';
export { CallState, type PlainCallRow } from './plain/plainTables.js';
export { startTrainer, type TrainerSettings, type TrainerStandIn } from './trainer/trainer.js';
export * from './trainer/trainerProtocol.js';
export {
  LotState,
  type LotId,
  type LotRow,
  type SampleRow,
  type TrainerError,
} from './trainer/trainerTables.js';
export { startUsage, type UsageSettings, type UsageStandIn } from './usage/usage.js';
export { DownloadState, type DownloadRow } from './weightStore/weightStoreTables.js';
export {
  startWeightStore,
  weightBytes,
  type WeightStoreSettings,
  type WeightStoreStandIn,
} from './weightStore/weightStore.js';
