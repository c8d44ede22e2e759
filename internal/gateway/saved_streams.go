package gateway

import (
	"bytes"
	"context"
	"strconv"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/streamversion"
)

const (
	savedStreamsPartition = "begun-streams"
	// savedStreamsTick is the time between two checks whether a row is to be written or read.
	savedStreamsTick = 125 * time.Millisecond
	// savedStreamsRefresh is the time after which an unchanged row is written again, as streams
	// of old rows are not taken up.
	savedStreamsRefresh = 20 * time.Second
	// maxRemovedRows bounds the rows of ended processes that are removed after one read.
	maxRemovedRows = 20
)

// savedStreams writes the row in which this process saves the streams that it has begun, and reads
// those of all.
type savedStreams struct {
	g       *Gateway
	key     string    // of the row: the daemon and the start of its process
	written []byte    // encoded, without its time; nil: the row does not exist
	writeAt time.Time // of the last write, also if it failed
	failing bool
}

// runSavedStreams saves streams until the context ends.
func (g *Gateway) runSavedStreams(runCtx context.Context) {
	s := &savedStreams{g: g, key: string(g.self.Name) + "/" + strconv.FormatInt(g.self.Start, 10)}
	for clock.Wait(runCtx, savedStreamsTick) {
		due := false
		g.withCore(func(c *exchange.Core, now time.Time) { due = c.SavedStreamsDue(now) })
		if due {
			s.note(s.read(runCtx))
		}
		s.note(s.write(runCtx))
	}
}

// note logs that a call has failed, unless the one before has.
func (s *savedStreams) note(err error) {
	if err != nil && !s.failing {
		s.g.event(event.BegunStreamsNotSaved, "", event.A("error", err.Error()))
	}
	s.failing = err != nil
}

// write writes the row if it has changed and its interval has passed. A row without streams is
// removed.
func (s *savedStreams) write(runCtx context.Context) error {
	var row streamversion.SavedRow
	var any bool
	var interval time.Duration
	s.g.withCore(func(c *exchange.Core, now time.Time) {
		if interval = c.SaveInterval(); now.Sub(s.writeAt) >= interval {
			row, any = c.StreamsToSave(now)
		}
	})
	now := clock.Now()
	if now.Sub(s.writeAt) < interval || !any && s.written == nil {
		return nil
	}
	w := provider.Write{Partition: savedStreamsPartition, Sort: s.key, Unconditional: true, Delete: !any}
	var undated []byte
	if any {
		var err error
		if undated, err = codec.Encode(row.Groups); err != nil {
			return err
		}
		if bytes.Equal(undated, s.written) && now.Sub(s.writeAt) < savedStreamsRefresh {
			return nil
		}
		if w.Value, err = codec.Encode(row); err != nil {
			return err
		}
	}
	s.writeAt = now
	ctx, cancel := context.WithTimeout(runCtx, tableTimeout)
	defer cancel()
	if err := s.g.Table.Transact(ctx, "", []provider.Write{w}); err != nil {
		return err
	}
	s.written = undated
	return nil
}

// read reads the rows of all processes.
func (s *savedStreams) read(runCtx context.Context) error {
	after, streams, rows := "", 0, 0
	var old []provider.Write
	for {
		ctx, cancel := context.WithTimeout(runCtx, tableTimeout)
		page, err := s.g.Table.Query(ctx, savedStreamsPartition, after, maxQueryRows, true)
		cancel()
		if err != nil {
			s.g.withCore(func(c *exchange.Core, _ time.Time) { c.SavedStreamsNotRead() })
			return err
		}
		for i := range page {
			after = page[i].Sort
			if after == s.key {
				continue
			}
			var row streamversion.SavedRow
			if err := codec.Decode(page[i].Value, &row); err != nil {
				continue // of another release, or not ours
			}
			rows++
			for j := range row.Groups {
				streams += len(row.Groups[j].Streams)
			}
			s.g.withCore(func(c *exchange.Core, now time.Time) {
				if c.AddSavedStreams(now, &row) && len(old) < maxRemovedRows {
					old = append(old, provider.Write{Partition: savedStreamsPartition, Sort: after, Delete: true, IfVersion: page[i].Version})
				}
			})
		}
		if len(page) < maxQueryRows {
			break
		}
	}
	s.g.event(event.BegunStreamsRead, "", event.A("rows", rows), event.A("streams", streams), event.A("old_rows", len(old)))
	for _, w := range old {
		ctx, cancel := context.WithTimeout(runCtx, tableTimeout)
		_ = s.g.Table.Transact(ctx, "", []provider.Write{w}) // another daemon may have removed it; the next read tries again
		cancel()
	}
	return nil
}
