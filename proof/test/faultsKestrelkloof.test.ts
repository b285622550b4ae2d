/** A share of the cells of the fault matrix passes on this installation. */
import { InstallationName } from '../system/installations.js';
import { declareCells } from './faultMatrix.js';

declareCells(InstallationName.Kestrelkloof, 0);
