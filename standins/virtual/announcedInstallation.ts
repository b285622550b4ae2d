/**
 * A virtual installation whose daemons announce themselves and are configured by declarations, as on
 * VMs that come and go.
 */
import { Discovery } from '../../src/infrastructure/settings/common/deployment.js';
import { defaultFleetSettings } from '../../src/infrastructure/settings/common/fleetSettings.js';
import { Profile } from '../../src/service/core/common/core.js';
import { createTestDeployment, createTestTree } from './testDeployment.js';
import {
  createVirtualInstallation,
  type VirtualInstallation,
  type VirtualOptions,
} from './virtualInstallation.js';

export interface AnnouncedOptions extends Omit<
  VirtualOptions,
  'deployment' | 'tree' | 'profile' | 'fleet'
> {
  readonly daemonCount: number;
  /** Number of daemons that have a data folder, the first ones; by default all. */
  readonly controlCount?: number;
  /** Number of voters that the installation is to have. */
  readonly voterCount: number;
}

/** Creates the installation and starts its daemons, `d1`, `d2`, …. */
export const createAnnouncedInstallation = ({
  daemonCount,
  controlCount = daemonCount,
  voterCount,
  ...options
}: AnnouncedOptions): VirtualInstallation =>
  createVirtualInstallation({
    ...options,
    deployment: {
      ...createTestDeployment(daemonCount, controlCount),
      discovery: Discovery.Announced,
    },
    tree: createTestTree(),
    profile: Profile.Declaration,
    fleet: { ...defaultFleetSettings, voterCount },
  });
