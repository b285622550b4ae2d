/** A sample of the cells of the fault matrix passes on this installation. */
import { InstallationName } from '../system/installations.js';
import { declareCellTests } from './faultMatrix.js';

declareCellTests(InstallationName.Kestrelkloof, 0);
