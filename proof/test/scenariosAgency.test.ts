/** Every scenario with single failures passes on this installation. */
import { InstallationName } from '../system/installations.js';
import { declareScenarioTests } from './scenarioFiles.js';

declareScenarioTests(InstallationName.Agency, false);
