// Command simadapter runs independent balancer instances for the simulator. It reads batches of events from standard input, one
// batch per line, and writes one line of actions for each batch to standard output before it reads the next batch. It exits at
// the end of the input, or with an error on malformed input.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// bufferSize is the buffer size of both streams, in bytes. Lines may be longer.
const bufferSize = 1 << 20

func run(input io.Reader, output io.Writer) error {
	reader, writer := bufio.NewReaderSize(input, bufferSize), bufio.NewWriterSize(output, bufferSize)
	running := instances{}
	for {
		line, readErr := reader.ReadBytes('\n')
		if readErr != nil && !errors.Is(readErr, io.EOF) {
			return fmt.Errorf("reading standard input: %w", readErr)
		}
		if len(bytes.TrimSpace(line)) > 0 {
			reply, err := running.handleBatch(line)
			if err != nil {
				return err
			}
			if err := writeReply(writer, reply); err != nil {
				return fmt.Errorf("writing standard output: %w", err)
			}
		}
		if readErr != nil { // io.EOF
			return nil
		}
	}
}

func writeReply(writer *bufio.Writer, reply []byte) error {
	if _, err := writer.Write(reply); err != nil {
		return err
	}
	return writer.Flush()
}

// instances holds the running instances by node number.
type instances map[int]*balancer.Balancer

// handleBatch passes the events of a line to their instances and returns the reply. It skips the events after the first failure
// of an instance, because the simulator stops its run then.
func (running instances) handleBatch(line []byte) ([]byte, error) {
	batch, err := simwire.Decode(line)
	if err != nil {
		return nil, err
	}
	reply := simwire.NewReply(batch.Frame)
	for i := range batch.Inputs {
		failed, err := running.handleInput(&batch.Inputs[i], batch.Now, reply)
		if err != nil {
			return nil, fmt.Errorf("frame %d, event %d: %w", batch.Frame, i, err)
		}
		if failed {
			break
		}
	}
	return reply.Line(), nil
}

// handleInput adds the actions for one input, or the failure of its instance, to the reply.
func (running instances) handleInput(input *simwire.Input, now balancer.Instant, reply *simwire.Reply) (failed bool, err error) {
	switch {
	case input.Kill:
		delete(running, input.Node)
	case input.Start != nil:
		instance, err := balancer.New(input.Start.Settings, input.Start.Seed)
		if err != nil {
			return false, fmt.Errorf("Configure: %w", err) //nolint:staticcheck // Configure is the name of an event
		}
		running[input.Node] = instance
	case input.Event != nil:
		instance := running[input.Node]
		if instance == nil {
			return false, fmt.Errorf("unknown instance %d", input.Node)
		}
		actions, failure := handleSafely(instance, now, input.Event)
		if failure != "" {
			delete(running, input.Node)
			reply.AddFailure(input.Node, failure)
			return true, nil
		}
		for _, action := range actions {
			if err := reply.Add(input.Node, action); err != nil {
				return false, err
			}
		}
	}
	return false, nil
}

// handleSafely passes an event to an instance. If the instance panics, it returns the text of the panic as the failure.
func handleSafely(instance *balancer.Balancer, now balancer.Instant, event balancer.Event) (actions []balancer.Action, failure string) {
	defer func() {
		if cause := recover(); cause != nil {
			actions = nil
			failure = fmt.Sprint(cause)
		}
	}()
	return instance.Handle(now, event), ""
}
