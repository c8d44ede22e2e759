package core

import (
	"testing"
	"time"
)

// A core with requests must not panic on any message that decodes.
func FuzzDecodeMessage(f *testing.F) {
	keyed := modelWork("a", 3)
	keyed.Key = "k"
	first := Message{Relay: &Relay{Request: "r1~d0", Work: keyed, TimeLeft: 5_000_000, Round: 1}}
	for _, m := range []Message{
		first,
		{Relay: &Relay{Request: "r3~d0", TimeLeft: 5_000_000, Round: 1}},
		{RelayPoll: &RelayPoll{Request: "r1~d0", Round: 1, Have: -1}},
		{RelayCancel: &RelayCancel{Request: "r1~d0"}},
		{Offer: &Offer{Request: "r4~d1", TimeLeft: 5_000_000}},
		{RelayTokens: &RelayTokens{Request: "r1~d0", Round: 1, First: 1, Tokens: []string{"a"}}},
		{RelayEnd: &RelayEnd{Request: "r1~d0", Round: 1, Answer: &Answer{}, Total: 1}},
		{RelayPoll: &RelayPoll{Request: "r1~d0", Round: 1, Have: 7}},
		{Offer: &Offer{Request: "r2~d1", Work: modelWork("b", 3), TimeLeft: 5_000_000}},
		{OfferCommit: &OfferCommit{Request: "r2~d1"}},
		{DocumentsRequest: &DocumentsRequest{}},
	} {
		body, err := EncodeMessage(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := DecodeMessage(body)
		if err != nil {
			return
		}
		w := emptyWorld(t, 1)
		d := w.addDaemon(0)
		w.runFor(200 * time.Millisecond)
		r := d.core.newRequest("r1~d0", keyed, 5*time.Second)
		r.stage, r.tokens = stageJoined, []string{"a"}
		d.post(PeerMessage{From: "d9", Addr: "peer-d9", Message: m})
		w.runFor(time.Second)
	})
}
