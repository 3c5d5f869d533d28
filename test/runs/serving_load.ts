/** Fleet of two services whose lookups wait for checks, under load near what it carries. */
import * as fleetContext from '../fakes/fleet_context.js';
import * as servingFleet from '../fakes/serving_fleet.js';
import * as deskConfiguration from './desk_configuration.js';

const ISSUING = 'issuing';
const CHECKING = 'checking';

/** Share of lookups that send a check while they run. */
const CHECKED_LOOKUPS = 0.7;

const DATA_CENTRES = 4;

const COLD_START_MS = 3_000;

/** Size and load of the fleet. */
export interface Load {
  readonly seed: number;
  /** Backend servers of both services in each data centre. */
  readonly serversPerDataCentre: number;
  /** Requests of callers per second and node. */
  readonly requestsPerSecond: number;
}

function requestClasses(): readonly fleetContext.RequestClass[] {
  const check: fleetContext.RequestClass = {
    route: deskConfiguration.route('check', CHECKING, {
      rank: 0,
      objectiveMs: 150,
    }),
    workMs: 49,
    deadlineMs: 600,
    share: 0,
  };
  return [
    check,
    {
      route: deskConfiguration.route('lookup', ISSUING, {timeoutMs: 1_200}),
      workMs: 190,
      deadlineMs: 2_500,
      share: 0.41,
      call: {requestClass: check, share: CHECKED_LOOKUPS},
    },
    {
      route: deskConfiguration.route('issue', ISSUING, {
        rank: 1,
        repeatable: false,
        timeoutMs: 1_500,
      }),
      workMs: 248,
      deadlineMs: 3_000,
      share: 0.225,
    },
    {
      route: deskConfiguration.route('status', CHECKING, {
        timeoutMs: 3_000,
        objectiveMs: 1_200,
      }),
      workMs: 486,
      deadlineMs: 6_000,
      share: 0.215,
    },
    {
      route: deskConfiguration.route('verify', CHECKING, {
        rank: 1,
        objectiveMs: 250,
      }),
      workMs: 77,
      deadlineMs: 1_200,
      share: 0.15,
    },
  ];
}

/** Returns a fleet whose neighbours slow each backend server down for a third of the time. */
export function fleet({
  seed,
  serversPerDataCentre,
  requestsPerSecond,
}: Load): servingFleet.ServingFleet {
  const classes = requestClasses();
  const checking = Math.floor(serversPerDataCentre / 2);
  return new servingFleet.ServingFleet({
    seed,
    dataCentres: DATA_CENTRES,
    serversPerDataCentre: new Map([
      [ISSUING, serversPerDataCentre - checking],
      [CHECKING, checking],
    ]),
    document: deskConfiguration.document(
      classes.map(c => c.route),
      [ISSUING, CHECKING],
      COLD_START_MS,
    ),
    classes,
    requestsPerSecond,
    server: {
      slots: 6,
      stalledShare: 0.35,
      stalledFactor: 4,
      stallIntervalMs: 300,
      kneeShare: 0.8,
      kneeFactor: 1.7,
    },
  });
}
