/** Fleets that the load tool simulates, with their request classes and traffic. */
import * as generated from '../src/generated/configuration.js';
import * as units from '../src/common/units.js';
import * as virtualService from '../test/fakes/virtual_service.js';
import * as virtualServiceNetwork from '../test/fakes/virtual_service_network.js';
import * as virtualServiceServer from '../test/fakes/virtual_service_server.js';

/** Requests of one class to one service. */
export interface Traffic {
  readonly service: string;
  readonly className: string;
  readonly method: generated.Route['method'];
  readonly path: string;
  /** Share of all requests to the service, from 0 to 1. */
  readonly share: number;
}

/** A fleet and its traffic. */
export interface Deployment {
  readonly name: string;
  readonly shape: virtualService.FleetShape;
  readonly traffic: readonly Traffic[];
  /** One-way delay between a caller and its entry. */
  readonly callerDelayMs: units.Millis;
}

/** Number and speed of the backend servers of one service. */
interface ServiceShape {
  readonly service: string;
  readonly servers: number;
  readonly slots: number;
  readonly medianMs: units.Millis;
}

interface NodeLocation {
  readonly dataCentre: string;
  readonly region: string;
}

const NETWORK: virtualServiceNetwork.NetworkOptions = {
  intraDataCentreMs: 0.1,
  interDataCentreMs: 1,
  interRegionMs: 20,
  datagramLoss: 0.001,
  duplicateShare: 0,
  progressTimeoutMs: 150,
};

/** Longest delay until a change is in force on a node. */
const MAX_PROPAGATION_MS = 1_000;
const HEDGE_AFTER_MS = 15;
const FLEET_SLICE_HEDGE_AFTER_MS = 150;
/** Nodes of `fleet-slice`, with and without a backend server of its service. */
const FLEET_SLICE_NODES = 2_400;

const CARONI_LOCATIONS = locationsIn('tt-central', [
  'chaguanas',
  'couva',
  'freeport',
]);
const CERTIFICADORA_LOCATIONS = locationsIn('gt-sur', [
  'quetzal',
  'escuintla',
  'champerico',
]);
const FLEET_SLICE_LOCATIONS = [
  ...CARONI_LOCATIONS,
  ...locationsIn('gt-sur', ['quetzal', 'escuintla']),
];

function locationsIn(
  region: string,
  dataCentres: readonly string[],
): readonly NodeLocation[] {
  return dataCentres.map(dataCentre => ({dataCentre, region}));
}

function buildRequestClass(
  name: string,
  kind: generated.RequestClass['kind'],
  deadlineMs: units.Millis,
  options: Partial<generated.RequestClass> = {},
): generated.RequestClass {
  return {
    name,
    kind,
    deadlineMs,
    idempotent: true,
    maxAttempts: 3,
    hedgeAfterMs: 0,
    ...options,
  };
}

function buildBackendNodes(
  shape: ServiceShape,
  locations: readonly NodeLocation[],
): readonly virtualService.NodeShape[] {
  return Array.from({length: shape.servers}, (unused, i) => ({
    nodeId: `${shape.service}-${i + 1}`,
    service: shape.service,
    ...locations[i % locations.length],
    slots: shape.slots,
    medianMs: shape.medianMs,
  }));
}

function buildConfiguration(
  classes: readonly generated.RequestClass[],
  traffic: readonly Traffic[],
): generated.Configuration {
  const services = [...new Set(traffic.map(t => t.service))];
  return {
    defaults: {},
    classes,
    services: services.map(name => ({
      name,
      routes: traffic
        .filter(t => t.service === name)
        .map(t => ({
          method: t.method,
          pathPrefix: t.path,
          class: t.className,
        })),
    })),
    exceptions: [],
  };
}

function buildTraffic(
  service: string,
  className: string,
  method: Traffic['method'],
  share: number,
): Traffic {
  const path = `/${service}/${className}`;
  return {service, className, method, path, share};
}

/** Properties in which deployments differ. */
interface DeploymentSpec {
  readonly name: string;
  readonly classes: readonly generated.RequestClass[];
  readonly traffic: readonly Traffic[];
  readonly services: readonly ServiceShape[];
  readonly locations: readonly NodeLocation[];
  readonly entries?: readonly virtualService.NodeShape[];
  readonly callerDelayMs: units.Millis;
}

function buildDeployment(spec: DeploymentSpec): Deployment {
  const backendNodes = spec.services.flatMap(s =>
    buildBackendNodes(s, spec.locations),
  );
  return {
    name: spec.name,
    shape: {
      nodes: [...backendNodes, ...(spec.entries ?? [])],
      configuration: buildConfiguration(spec.classes, spec.traffic),
      network: NETWORK,
      propagationMs: MAX_PROPAGATION_MS,
    },
    traffic: spec.traffic,
    callerDelayMs: spec.callerDelayMs,
  };
}

/** Order desk and catalogue services. */
function caroni(): Deployment {
  return buildDeployment({
    name: 'caroni',
    classes: [
      buildRequestClass('price-page', 'interactive', 500, {
        hedgeAfterMs: HEDGE_AFTER_MS,
      }),
      buildRequestClass('order-history', 'deferrable', 2_000),
      buildRequestClass('stock-check', 'must-arrive', 3_000),
      buildRequestClass('place-order', 'must-arrive', 3_000, {
        idempotent: false,
      }),
    ],
    traffic: [
      buildTraffic('order-desk', 'order-history', 'GET', 0.6),
      buildTraffic('order-desk', 'place-order', 'POST', 0.4),
      buildTraffic('catalogue', 'price-page', 'GET', 0.6),
      buildTraffic('catalogue', 'stock-check', 'GET', 0.4),
    ],
    services: [
      {service: 'order-desk', servers: 5, slots: 12, medianMs: 6},
      {service: 'catalogue', servers: 3, slots: 12, medianMs: 5},
    ],
    locations: CARONI_LOCATIONS,
    callerDelayMs: 8,
  });
}

/** Services that issue and verify certificates. */
function certificadora(): Deployment {
  return buildDeployment({
    name: 'certificadora',
    classes: [
      buildRequestClass('urgent-verification', 'interactive', 500, {
        hedgeAfterMs: HEDGE_AFTER_MS,
      }),
      buildRequestClass('broker-status', 'interactive', 500, {
        hedgeAfterMs: HEDGE_AFTER_MS,
      }),
      buildRequestClass('lot-lookup', 'must-arrive', 3_000),
      buildRequestClass('cold-chain-check', 'must-arrive', 3_000),
      buildRequestClass('issue-certificate', 'must-arrive', 5_000, {
        idempotent: false,
      }),
    ],
    traffic: [
      buildTraffic('issuing', 'broker-status', 'GET', 0.4),
      buildTraffic('issuing', 'lot-lookup', 'GET', 0.2),
      buildTraffic('issuing', 'issue-certificate', 'POST', 0.4),
      buildTraffic('verification', 'urgent-verification', 'GET', 0.5),
      buildTraffic('verification', 'cold-chain-check', 'GET', 0.5),
    ],
    services: [
      {service: 'issuing', servers: 6, slots: 9, medianMs: 8},
      {service: 'verification', servers: 5, slots: 9, medianMs: 6},
    ],
    locations: CERTIFICADORA_LOCATIONS,
    callerDelayMs: 3,
  });
}

/** One service of a large fleet, called from all nodes of the fleet. */
function fleetSlice(): Deployment {
  const stock = {service: 'stock', servers: 29, slots: 9, medianMs: 70};
  return buildDeployment({
    name: 'fleet-slice',
    classes: [
      buildRequestClass('price-page', 'interactive', 1_000, {
        hedgeAfterMs: FLEET_SLICE_HEDGE_AFTER_MS,
      }),
      buildRequestClass('stock-check', 'must-arrive', 3_000),
    ],
    traffic: [
      buildTraffic('stock', 'price-page', 'GET', 0.6),
      buildTraffic('stock', 'stock-check', 'GET', 0.4),
    ],
    services: [stock],
    locations: FLEET_SLICE_LOCATIONS,
    entries: buildEntryNodes(FLEET_SLICE_NODES - stock.servers),
    callerDelayMs: 3,
  });
}

/** Nodes beside backend servers of other services; they act as entries only. */
function buildEntryNodes(count: number): readonly virtualService.NodeShape[] {
  return Array.from({length: count}, (unused, i) => ({
    nodeId: `entry-${i + 1}`,
    service: 'other',
    ...FLEET_SLICE_LOCATIONS[i % FLEET_SLICE_LOCATIONS.length],
    slots: 1,
  }));
}

/** Builders of all deployments, by name. */
export const DEPLOYMENTS: Readonly<Record<string, () => Deployment>> = {
  caroni,
  certificadora,
  'fleet-slice': fleetSlice,
};

/** Requests per second that the warm backend servers of a service can complete. */
export function serviceCapacityPerSecond(
  deployment: Deployment,
  service: string,
): number {
  let capacity = 0;
  for (const n of deployment.shape.nodes) {
    if (n.service !== service || n.medianMs === undefined) continue;
    capacity += virtualServiceServer.capacityPerSecond({
      slots: n.slots,
      medianMs: n.medianMs,
    });
  }
  return capacity;
}
