/** Every scenario file of this installation holds. */
import { InstallationName } from '../system/installations.js';
import { declareScenarios } from './scenarioFiles.js';

declareScenarios(InstallationName.Agency);
