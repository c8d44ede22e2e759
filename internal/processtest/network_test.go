package processtest

import (
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
)

const maxDatagram = 64 << 10

// network relays the datagrams between daemons, so that links can be cut.
// Daemons are known by their index.
type network struct {
	mu    sync.Mutex
	real  map[netip.AddrPort]int // socket of each daemon
	cut   map[[2]int]bool
	loss  float64 // share of datagrams that are lost
	rng   *rand.Rand
	conns []net.PacketConn
}

func newNetwork(t testing.TB) *network {
	n := &network{real: map[netip.AddrPort]int{}, cut: map[[2]int]bool{}, rng: rand.New(rand.NewPCG(1, 1))}
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

// setReal tells the socket of a daemon.
func (n *network) setReal(index int, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.real[netip.MustParseAddrPort(address)] = index
}

// isolate cuts a daemon off from all others, or joins it again.
func (n *network) isolate(index, daemons int, on bool) {
	for other := range daemons {
		n.setCut(index, other, on)
	}
}

func (n *network) setCut(a, b int, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]int{a, b}], n.cut[[2]int{b, a}] = on, on
}

func (n *network) setLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = share
}

// passes decides about one datagram between a socket and a daemon.
func (n *network) passes(from netip.AddrPort, to int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a, known := n.real[from]; known && n.cut[[2]int{a, to}] {
		return false
	}
	return n.loss == 0 || n.rng.Float64() >= n.loss
}

func (n *network) listen(t testing.TB) *net.UDPConn {
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

// udpRelay stands in front of one daemon's peer port. Each sender gets a
// socket of its own towards the daemon, so that replies find their way back.
type udpRelay struct {
	network *network
	index   int
	front   *net.UDPConn

	mu     sync.Mutex
	target netip.AddrPort
	back   map[netip.AddrPort]*net.UDPConn
}

func (n *network) relay(t testing.TB, index int) *udpRelay {
	t.Helper()
	r := &udpRelay{network: n, index: index, front: n.listen(t), back: map[netip.AddrPort]*net.UDPConn{}}
	go r.forward(t)
	return r
}

func (r *udpRelay) address() string { return r.front.LocalAddr().String() }

// setTarget tells where the daemon listens now.
func (r *udpRelay) setTarget(address string) {
	r.network.setReal(r.index, address)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = netip.MustParseAddrPort(address)
	for from, c := range r.back {
		_ = c.Close()
		delete(r.back, from)
	}
}

// forward passes datagrams on to the daemon.
func (r *udpRelay) forward(t testing.TB) {
	buf := make([]byte, maxDatagram)
	for {
		size, from, err := r.front.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if !r.network.passes(from, r.index) {
			continue
		}
		if c, target := r.socketFor(t, from); c != nil {
			_, _ = c.WriteToUDPAddrPort(buf[:size], target)
		}
	}
}

func (r *udpRelay) socketFor(t testing.TB, from netip.AddrPort) (*net.UDPConn, netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.target.IsValid() {
		return nil, r.target
	}
	c := r.back[from]
	if c == nil {
		c = r.network.listen(t)
		r.back[from] = c
		go r.answer(c, from)
	}
	return c, r.target
}

// answer passes the daemon's datagrams back to one sender.
func (r *udpRelay) answer(c *net.UDPConn, to netip.AddrPort) {
	buf := make([]byte, maxDatagram)
	for {
		size, _, err := c.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if r.network.passes(to, r.index) {
			_, _ = r.front.WriteToUDPAddrPort(buf[:size], to)
		}
	}
}

// tcpRelay stands between one daemon and the table service.
type tcpRelay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
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
		r.setCut(true)
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
	if r.cut {
		_ = c.Close()
		return
	}
	s, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = c.Close()
		return
	}
	r.conns = append(r.conns, c, s)
	go pipe(c, s)
	go pipe(s, c)
}

func pipe(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// setCut tears all connections and refuses new ones, or serves again.
func (r *tcpRelay) setCut(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = on
	if !on {
		return
	}
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
}
