package usage

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Limits of announcements.
const (
	// maxAnnouncementPeers is the maximum number of instances that an announcement goes to, so that the cost of an event which
	// many instances announce does not grow with the square of their number.
	maxAnnouncementPeers = 16
	// maxAnnouncement is the maximum size of the content of an announcement in bytes; a datagram holds it with a name of usual
	// length.
	maxAnnouncement = 1300
)

// announcement is the content of a datagram that announces something, encoded as a CBOR array of another length than message.
type announcement struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Content []byte
}

// setSocket keeps the socket for Announce.
func (e *Exchange) setSocket(socket *net.UDPConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.socket = socket
}

// Announce sends the content to the other instances, at most maxAnnouncementPeers of them, without any promise that it arrives. Content
// of more than maxAnnouncement bytes is not sent.
func (e *Exchange) Announce(content []byte) {
	e.mu.Lock()
	socket := e.socket
	e.mu.Unlock()
	if socket == nil || len(content) > maxAnnouncement {
		e.config.Log.WithField("bytes", len(content)).Debug("announcement not sent")
		return
	}
	datagram, err := cbor.Marshal(announcement{Name: e.config.Name, Content: content})
	if err != nil {
		e.config.Log.WithError(err).Error("cannot encode announcement")
		return
	}
	peers := e.config.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(len(peers), maxAnnouncementPeers)] {
		e.send(socket, peer.Address, datagram)
	}
}

// receiveAnnouncement reports whether a datagram is an announcement, and passes on that of another live instance.
func (e *Exchange) receiveAnnouncement(datagram []byte, sender netip.AddrPort) bool {
	var a announcement
	if err := cbor.Unmarshal(datagram, &a); err != nil || a.Name == "" {
		return false
	}
	if e.config.Announced != nil && a.Name != e.config.Name && e.isPeer(sender) {
		e.config.Announced(a.Name, a.Content)
	}
	return true
}

// isPeer reports whether an address is that of a live instance.
func (e *Exchange) isPeer(address netip.AddrPort) bool {
	text := netip.AddrPortFrom(address.Addr().Unmap(), address.Port()).String()
	return slices.ContainsFunc(e.config.Peers(), func(peer Peer) bool { return peer.Address == text })
}
