package placement

import "github.com/gooseberryslip/gooseberryslip/internal/entity"

// Ranks is the number of priorities that backend servers distinguish. Rank 0 is
// the most urgent.
const Ranks = 10

// Waiting holds the requests whose first event has not arrived, by rank.
type Waiting struct {
	Requests [Ranks]int           `cbor:"1,keyasint"`
	Prompt   [Ranks]entity.Tokens `cbor:"2,keyasint"` // prompt tokens to be read
}

// addRequest adds a request, or removes it if sign is -1.
func (w *Waiting) addRequest(rank, sign int, prompt entity.Tokens) {
	w.Requests[rank] += sign
	w.Prompt[rank] += entity.Tokens(sign) * prompt
}

// add adds another daemon's requests, or removes them if sign is -1.
func (w *Waiting) add(other *Waiting, sign int) {
	for rank := range w.Requests {
		w.Requests[rank] += sign * other.Requests[rank]
		w.Prompt[rank] += entity.Tokens(sign) * other.Prompt[rank]
	}
}

// upTo returns the requests and prompt tokens of a rank and all more urgent
// ones.
func (w *Waiting) upTo(rank int) (requests float64, prompt float64) {
	for i := range rank + 1 {
		requests += float64(w.Requests[i])
		prompt += float64(w.Prompt[i])
	}
	return requests, prompt
}

func (w *Waiting) total() int {
	n := 0
	for _, requests := range w.Requests {
		n += requests
	}
	return n
}

// queue is the work that an engine does before it serves a new request.
type queue struct {
	promptTokens  float64 // prompt tokens to be read before the request's own
	requestsToEnd float64 // requests that must end before it gets a slot
}

// queueAt returns the work before a request of a rank. The prompts of requests
// that have a slot are read in the order of their arrival; requests that wait
// for a slot get one by rank.
func (p *Placer) queueAt(r *serverRow, rank int) queue {
	return r.queue(rank, p.peerWaitingWeight(p.speed(r.Service), false))
}

// queue returns the work before a request of a rank. PeerWeight is the weight of the other
// daemons' waiting requests.
func (r *serverRow) queue(rank int, peerWeight float64) queue {
	sum := func(rank int) (requests, prompt float64) {
		localRequests, localPrompt := r.localSum.Waiting.upTo(rank)
		requests, prompt = r.peerSum.Waiting.upTo(rank)
		return localRequests + peerWeight*requests, localPrompt + peerWeight*prompt
	}
	requests, prompt := sum(Ranks - 1)
	requestsAhead, promptAhead := sum(rank)
	running := float64(r.localSum.Running + r.peerSum.Running)
	admitted := 1.0
	if requests > 0 {
		admitted = min(max(float64(r.Slots)-running, 0)/requests, 1)
	}
	return queue{
		promptTokens:  admitted*prompt + (1-admitted)*promptAhead,
		requestsToEnd: max(running+requestsAhead+1-float64(r.Slots), 0),
	}
}
