package placement

import "github.com/gooseberryslip/gooseberryslip/internal/entity"

// Ranks is the number of priorities that backend servers tell apart; 0 is first.
const Ranks = 10

// Waiting holds the requests before their first event, by rank.
type Waiting struct {
	Requests [Ranks]int           `cbor:"1,keyasint"`
	Prompt   [Ranks]entity.Tokens `cbor:"2,keyasint"` // tokens to be read
}

// take adds a request, or takes it off with the sign -1.
func (w *Waiting) take(rank, sign int, prompt entity.Tokens) {
	w.Requests[rank] += sign
	w.Prompt[rank] += entity.Tokens(sign) * prompt
}

// add adds another daemon's requests, or takes them off with the sign -1.
func (w *Waiting) add(other *Waiting, sign int) {
	for rank := range w.Requests {
		w.Requests[rank] += sign * other.Requests[rank]
		w.Prompt[rank] += entity.Tokens(sign) * other.Prompt[rank]
	}
}

// upTo returns the requests and tokens of a rank and all more urgent ones.
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

// queue is what stands before a new request at an engine.
type queue struct {
	prompt float64 // tokens to be read before its own
	slots  float64 // requests that must end before it gets a slot
}

// queueAt returns what stands before a request of a rank. Requests that have a
// slot have their prompts read in the order in which they came; those that wait
// for one get it by rank.
func (p *Placer) queueAt(r *row, rank int) queue {
	weight := p.waitingWeight(p.speed(r.Service), false)
	sum := func(rank int) (requests, prompt float64) {
		ownRequests, ownPrompt := r.own.Waiting.upTo(rank)
		requests, prompt = r.others.Waiting.upTo(rank)
		return ownRequests + weight*requests, ownPrompt + weight*prompt
	}
	requests, prompt := sum(Ranks - 1)
	requestsAhead, promptAhead := sum(rank)
	running := float64(r.own.Running + r.others.Running)
	admitted := 1.0
	if requests > 0 {
		admitted = min(max(float64(r.Slots)-running, 0)/requests, 1)
	}
	return queue{
		prompt: admitted*prompt + (1-admitted)*promptAhead,
		slots:  max(running+requestsAhead+1-float64(r.Slots), 0),
	}
}
