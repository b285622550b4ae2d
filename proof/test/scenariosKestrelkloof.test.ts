/** Every scenario of single failures on this installation holds. */
import { InstallationName } from '../system/installations.js';
import { declareScenarios } from './scenarioFiles.js';

declareScenarios(InstallationName.Kestrelkloof, false);
