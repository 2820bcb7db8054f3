package jobs

import (
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// doneTasks is the set of the done tasks of a job. It takes a bit for each task, rounded up to a
// byte for each step of each occurrence.
type doneTasks struct {
	steps  []stepBits
	stride int     // bytes of an occurrence
	bits   []byte  // of all occurrences
	counts []int32 // done tasks of each step of each occurrence
	left   int     // tasks that are not done
}

// stepBits tells where the bits of a step are in those of an occurrence.
type stepBits struct{ count, offset int }

func newDoneTasks(j Job) doneTasks {
	var d doneTasks
	for _, s := range j.Steps {
		d.steps = append(d.steps, stepBits{s.Count, d.stride})
		d.stride += (s.Count + 7) / 8
		d.left += s.Count * j.Occurrences()
	}
	d.bits = make([]byte, d.stride*j.Occurrences())
	d.counts = make([]int32, len(j.Steps)*j.Occurrences())
	return d
}

// bitsOf returns the bits of a step.
func (d *doneTasks) bitsOf(occurrence, step int) []byte {
	s := d.steps[step]
	first := occurrence*d.stride + s.offset
	return d.bits[first : first+(s.count+7)/8]
}

func (d *doneTasks) has(t Task) bool {
	return d.bitsOf(t.Occurrence, t.Step)[t.Index/8]&(1<<(t.Index%8)) != 0
}

func (d *doneTasks) add(t Task) {
	if d.has(t) {
		return
	}
	d.bitsOf(t.Occurrence, t.Step)[t.Index/8] |= 1 << (t.Index % 8)
	d.counts[t.Occurrence*len(d.steps)+t.Step]++
	d.left--
}

// leftOf returns the number of tasks of a step that are not done.
func (d *doneTasks) leftOf(occurrence, step int) int {
	return d.steps[step].count - int(d.counts[occurrence*len(d.steps)+step])
}

// encode returns the stored form of each step of each occurrence, empty if none of its tasks is
// done.
func (d *doneTasks) encode() []string {
	texts := make([]string, len(d.counts))
	for i, count := range d.counts {
		if count > 0 {
			texts[i] = hex.EncodeToString(d.bitsOf(i/len(d.steps), i%len(d.steps)))
		}
	}
	return texts
}

// decode adds the tasks of the stored form of a step. i counts the steps of all occurrences.
func (d *doneTasks) decode(i int, text string) error {
	if text == "" {
		return nil
	}
	t := Task{Occurrence: i / len(d.steps), Step: i % len(d.steps)}
	words, err := hex.DecodeString(text)
	if want := len(d.bitsOf(t.Occurrence, t.Step)); err != nil || len(words) != want {
		return errors.Newf("done %.40q: want %d bytes in hexadecimal", text, want)
	}
	for t.Index = range d.steps[t.Step].count {
		if words[t.Index/8]&(1<<(t.Index%8)) != 0 {
			d.add(t)
		}
	}
	return nil
}
