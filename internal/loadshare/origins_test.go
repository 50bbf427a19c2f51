package loadshare

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellscale/bluebellscale/internal/policy/origin"
)

const (
	// controlBytes is what a daemon may spend for control in a second, and streamsPerDaemon the streams that it begins in a
	// second at the intended size.
	controlBytes     = 10_000
	streamsPerDaemon = 12
	recordCopies     = 3
	packetHeader     = 28 // bytes of UDP and IP
)

// TestRecordsOfStreamsFitTheBudget guards against records of streams that use up what control may cost while a service has several versions.
func TestRecordsOfStreamsFitTheBudget(t *testing.T) {
	r := &Report{From: "frontend-conche-hall-3", Origins: originMessages([]origin.Record{{Key: 1 << 63, Software: "v1.2.3"}})}
	perSecond := (proto.Size(r) + packetHeader) * streamsPerDaemon * recordCopies
	t.Logf("%d bytes a record, %d bytes a second", proto.Size(r)+packetHeader, perSecond)
	if perSecond > controlBytes/3 {
		t.Errorf("%d bytes a second", perSecond)
	}
}

// TestBatchOfRecordsFitsInOnePacket guards against fragments, of which each that is lost loses all records.
func TestBatchOfRecordsFitsInOnePacket(t *testing.T) {
	var records []origin.Record
	for i := range maxOrigins {
		records = append(records, origin.Record{Key: 1<<63 + origin.Key(i), Software: strings.Repeat("v", 64)})
	}
	if n := proto.Size(&Report{From: fmt.Sprint(strings.Repeat("n", 64)), Origins: originMessages(records)}); n > maxDatagram {
		t.Errorf("%d bytes", n)
	}
}
