/** Every scenario of pairs of failures on this installation holds. */
import { InstallationName } from '../system/installations.js';
import { declareScenarioTests } from './scenarioFiles.js';

declareScenarioTests(InstallationName.Kestrelkloof, true);
