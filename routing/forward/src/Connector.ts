import net from 'node:net'

/** Opens connections to backend servers. */
export abstract class Connector {
  abstract connect (opts: net.NetConnectOpts): net.Socket
}

/** Opens TCP connections. */
export class TcpConnector extends Connector {
  override connect (opts: net.NetConnectOpts): net.Socket {
    return net.connect(opts)
  }
}
