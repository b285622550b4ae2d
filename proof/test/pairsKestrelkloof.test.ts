/** Every scenario of pairs of failures on this installation holds. */
import { InstallationName } from '../system/installations.js';
import { declareScenarios } from './scenarioFiles.js';

declareScenarios(InstallationName.Kestrelkloof, true);
