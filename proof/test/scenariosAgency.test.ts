/** Every scenario of single failures on this installation holds. */
import { InstallationName } from '../system/installations.js';
import { declareScenarioTests } from './scenarioFiles.js';

declareScenarioTests(InstallationName.Agency, false);
