/** Deployments of the demonstration. */

/** Kind of request that callers send. */
export interface RequestKind {
  readonly className: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Relative share of the load. */
  readonly weight: number;
}

/** Backend servers of one service, assigned to the data centres round robin. */
export interface ServiceShape {
  readonly name: string;
  readonly servers: number;
  readonly slots: number;
}

/** Deployment of one organisation. */
export interface Deployment {
  readonly name: string;
  readonly region: string;
  readonly dataCentres: readonly string[];
  readonly services: readonly ServiceShape[];
  readonly kinds: readonly RequestKind[];
  /** Configuration file to publish, relative to the repository. */
  readonly configurationFile: string;
}

/** Both deployments at their present sizes. */
export const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: 'caroni',
    region: 'tt-central',
    dataCentres: ['chaguanas', 'couva', 'freeport'],
    services: [
      {name: 'orders', servers: 5, slots: 12},
      {name: 'catalogue', servers: 3, slots: 12},
    ],
    kinds: [
      {
        className: 'price-page',
        method: 'GET',
        path: '/catalogue/prices/7',
        weight: 4,
      },
      {
        className: 'stock-check',
        method: 'GET',
        path: '/catalogue/stock/7',
        weight: 2,
      },
      {
        className: 'order-history',
        method: 'GET',
        path: '/orders/history',
        weight: 2,
      },
      {className: 'place-order', method: 'POST', path: '/orders', weight: 2},
    ],
    configurationFile: 'examples/caroni.jsonc',
  },
  {
    name: 'certificadora',
    region: 'gt-sur',
    dataCentres: ['quetzal', 'escuintla', 'champerico'],
    services: [
      {name: 'issuing', servers: 6, slots: 9},
      {name: 'verification', servers: 5, slots: 9},
    ],
    kinds: [
      {
        className: 'urgent-verification',
        method: 'GET',
        path: '/verification/urgent/3',
        weight: 2,
      },
      {
        className: 'broker-status',
        method: 'GET',
        path: '/issuing/status/3',
        weight: 2,
      },
      {
        className: 'lot-lookup',
        method: 'GET',
        path: '/verification/lots/3',
        weight: 2,
      },
      {
        className: 'cold-chain-check',
        method: 'GET',
        path: '/verification/cold-chain/3',
        weight: 2,
      },
      {
        className: 'issue-certificate',
        method: 'POST',
        path: '/issuing/certificates',
        weight: 2,
      },
    ],
    configurationFile: 'examples/certificadora.jsonc',
  },
];
