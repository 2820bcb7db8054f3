package store

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/plat"
)

// TicketRecord is the stored record of an accepted ticket.
type TicketRecord struct {
	Number  uint64
	Author  string
	Reason  string
	Digest  string
	Version uint64 // version of the change that put the ticket in force
	At      time.Time
	Content []byte // the JSON of the ticket as it was submitted
}

// TicketWire is the JSON form of a [TicketRecord].
type TicketWire struct {
	Number  uint64          `json:"number"`
	Author  string          `json:"author"`
	Reason  string          `json:"reason"`
	Digest  string          `json:"digest"`
	Version uint64          `json:"version"`
	At      time.Time       `json:"at"`
	Content json.RawMessage `json:"content,omitempty"`
}

// Wire converts the record to its JSON form.
func (t TicketRecord) Wire() TicketWire {
	return TicketWire{t.Number, t.Author, t.Reason, t.Digest, t.Version, t.At, t.Content}
}

func encodeTicket(t TicketRecord) []byte {
	data, err := json.Marshal(t.Wire())
	if err != nil {
		panic(err)
	}
	return data
}

func (s *Store) decodeTicket(ctx context.Context, row plat.Row) (TicketRecord, error) {
	data, err := s.readValue(ctx, row)
	if err != nil {
		return TicketRecord{}, err
	}
	var w TicketWire
	if err := json.Unmarshal(data, &w); err != nil {
		return TicketRecord{}, errors.Wrap(err, row.Key)
	}
	return TicketRecord{w.Number, w.Author, w.Reason, w.Digest, w.Version, w.At, w.Content}, nil
}

// Ticket returns the record of a ticket and whether there is one.
func (s *Store) Ticket(ctx context.Context, number uint64) (TicketRecord, bool, error) {
	rows, err := s.table.Read(ctx, []string{ticketKey(number)})
	if err != nil {
		return TicketRecord{}, false, errors.Wrap(err, "read ticket")
	}
	if rows[0].Version == 0 {
		return TicketRecord{}, false, nil
	}
	record, err := s.decodeTicket(ctx, rows[0])
	return record, err == nil, err
}

// Tickets returns the records of all tickets, in the order of their numbers.
func (s *Store) Tickets(ctx context.Context) ([]TicketRecord, error) {
	rows, err := plat.ScanAll(ctx, s.table, ticketPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "scan tickets")
	}
	records := make([]TicketRecord, 0, len(rows))
	for _, row := range rows {
		record, err := s.decodeTicket(ctx, row)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}
