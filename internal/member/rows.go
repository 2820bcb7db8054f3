package member

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/plat"
)

const (
	leasePrefix   = "lease/" // fields that change with renewals
	processPrefix = "place/" // fields that stay the same for the life of a process
)

// processRecord is the JSON form of the fields of an [Info] that stay the same
// for the life of a process.
type processRecord struct {
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	Peer        string `json:"peer"`
	Admin       string `json:"admin"`
}

func encodeProcess(i Info) []byte {
	data, err := json.Marshal(processRecord{i.Incarnation, i.Zone, i.Peer.String(), i.Admin.String()})
	if err != nil {
		panic(err)
	}
	return data
}

func decodeProcess(row plat.Row) (Info, error) {
	var w processRecord
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return Info{}, errors.Wrap(err, row.Key)
	}
	peer, err := netip.ParseAddrPort(w.Peer)
	if err != nil {
		return Info{}, errors.Wrap(err, row.Key)
	}
	admin, err := netip.ParseAddrPort(w.Admin)
	if err != nil {
		return Info{}, errors.Wrap(err, row.Key)
	}
	name := strings.TrimPrefix(row.Key, processPrefix)
	return Info{Name: name, Incarnation: w.Incarnation, Zone: w.Zone, Peer: peer, Admin: admin}, nil
}

// encodeLease encodes the changing fields as one short line, because every
// member reads all lease rows every few seconds.
func encodeLease(i Info) []byte {
	return fmt.Appendf(nil, "%s %d %d %s", i.Incarnation, i.Counter, i.Version, i.State)
}

func decodeLease(row plat.Row) (Info, error) {
	info := Info{Name: strings.TrimPrefix(row.Key, leasePrefix), Row: row.Version}
	_, err := fmt.Sscanf(string(row.Value), "%s %d %d %s", &info.Incarnation, &info.Counter, &info.Version, &info.State)
	return info, errors.Wrap(err, row.Key)
}

// Reader reads the rows of all members. It caches the process rows, so that a
// read is one scan of the short lease rows. It is not safe for concurrent use.
type Reader struct {
	table     plat.Table
	processes map[string]Info // cached process rows by incarnation
}

// NewReader returns a reader with an empty cache.
func NewReader(table plat.Table) *Reader {
	return &Reader{table: table, processes: map[string]Info{}}
}

// Read returns the infos of all members, ordered by name.
func (r *Reader) Read(ctx context.Context) ([]Info, error) {
	rows, err := plat.ScanAll(ctx, r.table, leasePrefix)
	if err != nil {
		return nil, errors.Wrap(err, "read leases")
	}
	infos := make([]Info, 0, len(rows))
	for _, row := range rows {
		info, err := decodeLease(row)
		if err != nil {
			return nil, err
		}
		infos = append(infos, info)
	}
	return r.addProcessFields(ctx, infos)
}

// addProcessFields adds the fields of the process rows to infos. A process that
// restarted during this read is left out until the next one.
func (r *Reader) addProcessFields(ctx context.Context, infos []Info) ([]Info, error) {
	if err := r.readNewProcesses(ctx, infos); err != nil {
		return nil, err
	}
	current := map[string]Info{}
	complete := infos[:0]
	for _, info := range infos {
		process, known := r.processes[info.Incarnation]
		if !known {
			continue
		}
		current[info.Incarnation] = process
		process.Counter, process.Version, process.State, process.Row = info.Counter, info.Version, info.State, info.Row
		complete = append(complete, process)
	}
	r.processes = current
	return complete, nil
}

// readNewProcesses reads the process rows that are not cached.
func (r *Reader) readNewProcesses(ctx context.Context, infos []Info) error {
	var keys []string
	for _, info := range infos {
		if _, known := r.processes[info.Incarnation]; !known {
			keys = append(keys, processPrefix+info.Name)
		}
	}
	if len(keys) == 0 {
		return nil
	}
	rows, err := r.table.Read(ctx, keys)
	if err != nil {
		return errors.Wrap(err, "read process rows")
	}
	for _, row := range rows {
		if row.Version == 0 {
			continue
		}
		process, err := decodeProcess(row)
		if err != nil {
			return err
		}
		r.processes[process.Incarnation] = process
	}
	return nil
}
