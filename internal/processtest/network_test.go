package processtest

import (
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
)

const maxDatagramBytes = 64 << 10

// network relays the datagrams between daemons, so that tests can cut links and
// drop datagrams. Daemons are identified by their index.
type network struct {
	mu            sync.Mutex
	daemonSockets map[netip.AddrPort]int // peer address of each daemon to its index
	cutLinks      map[[2]int]bool        // by sender and receiver
	lossRatio     float64                // fraction of datagrams that are dropped
	rng           *rand.Rand
	conns         []net.PacketConn
}

func newNetwork(t testing.TB) *network {
	n := &network{daemonSockets: map[netip.AddrPort]int{}, cutLinks: map[[2]int]bool{}, rng: rand.New(rand.NewPCG(1, 1))}
	t.Cleanup(n.close)
	return n
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		_ = c.Close()
	}
}

// setDaemonSocket records the address that a daemon sends its datagrams from.
func (n *network) setDaemonSocket(index int, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.daemonSockets[netip.MustParseAddrPort(address)] = index
}

// setIsolated cuts the links between a daemon and all others, or restores them.
func (n *network) setIsolated(index, daemons int, on bool) {
	for other := range daemons {
		n.setLinkCut(index, other, on)
	}
}

func (n *network) setLinkCut(a, b int, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutLinks[[2]int{a, b}], n.cutLinks[[2]int{b, a}] = on, on
}

func (n *network) setLossRatio(ratio float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossRatio = ratio
}

// shouldForward reports whether a datagram between the socket of a daemon and
// another daemon is to be forwarded. It is not if the link is cut, and it
// is dropped at random with the probability lossRatio.
func (n *network) shouldForward(from netip.AddrPort, to int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a, known := n.daemonSockets[from]; known && n.cutLinks[[2]int{a, to}] {
		return false
	}
	return n.lossRatio == 0 || n.rng.Float64() >= n.lossRatio
}

func (n *network) listenUDP(t testing.TB) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, c)
	return c
}

// udpRelay receives the datagrams for one daemon's peer port and forwards them.
// It uses a separate socket towards the daemon for each sender, so that it can
// return the daemon's replies to the right sender.
type udpRelay struct {
	network    *network
	index      int
	peerSocket *net.UDPConn

	mu            sync.Mutex
	target        netip.AddrPort
	senderSockets map[netip.AddrPort]*net.UDPConn
}

func (n *network) newRelay(t testing.TB, index int) *udpRelay {
	t.Helper()
	r := &udpRelay{network: n, index: index, peerSocket: n.listenUDP(t), senderSockets: map[netip.AddrPort]*net.UDPConn{}}
	go r.forwardToDaemon(t)
	return r
}

func (r *udpRelay) address() string { return r.peerSocket.LocalAddr().String() }

// setTarget sets the peer address that the daemon listens on, and closes the
// sockets towards its previous one.
func (r *udpRelay) setTarget(address string) {
	r.network.setDaemonSocket(r.index, address)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = netip.MustParseAddrPort(address)
	for from, c := range r.senderSockets {
		_ = c.Close()
		delete(r.senderSockets, from)
	}
}

// forwardToDaemon forwards the datagrams of all senders to the daemon until the
// peer socket is closed.
func (r *udpRelay) forwardToDaemon(t testing.TB) {
	buf := make([]byte, maxDatagramBytes)
	for {
		size, from, err := r.peerSocket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if !r.network.shouldForward(from, r.index) {
			continue
		}
		if c, target := r.senderSocket(t, from); c != nil {
			_, _ = c.WriteToUDPAddrPort(buf[:size], target)
		}
	}
}

func (r *udpRelay) senderSocket(t testing.TB, from netip.AddrPort) (*net.UDPConn, netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.target.IsValid() {
		return nil, r.target
	}
	c := r.senderSockets[from]
	if c == nil {
		c = r.network.listenUDP(t)
		r.senderSockets[from] = c
		go r.forwardFromDaemon(c, from)
	}
	return c, r.target
}

// forwardFromDaemon forwards the daemon's datagrams on one sender's socket to
// that sender until the socket is closed.
func (r *udpRelay) forwardFromDaemon(c *net.UDPConn, to netip.AddrPort) {
	buf := make([]byte, maxDatagramBytes)
	for {
		size, _, err := c.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if r.network.shouldForward(to, r.index) {
			_, _ = r.peerSocket.WriteToUDPAddrPort(buf[:size], to)
		}
	}
}

// tcpRelay forwards the connections of one daemon to the table service.
type tcpRelay struct {
	listener net.Listener
	target   string

	mu           sync.Mutex
	disconnected bool
	conns        []net.Conn
}

func newTCPRelay(t testing.TB, target string) *tcpRelay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &tcpRelay{listener: l, target: target}
	go r.serve()
	t.Cleanup(func() {
		_ = l.Close()
		r.setDisconnected(true)
	})
	return r
}

func (r *tcpRelay) address() string { return r.listener.Addr().String() }

func (r *tcpRelay) serve() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.connect(c)
	}
}

func (r *tcpRelay) connect(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.disconnected {
		_ = c.Close()
		return
	}
	s, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = c.Close()
		return
	}
	r.conns = append(r.conns, c, s)
	go copyAndClose(c, s)
	go copyAndClose(s, c)
}

func copyAndClose(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// setDisconnected(true) closes all connections and makes the relay close new ones
// at once; setDisconnected(false) makes it forward new connections again.
func (r *tcpRelay) setDisconnected(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnected = on
	if !on {
		return
	}
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
}
