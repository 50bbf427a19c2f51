package loadshare

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// A daemon that has lost a service must not get requests for it from others, and must get them again soon after it has
// reached the service, also if the datagram that says so is lost.
func TestPeersKnowWhatADaemonHasLost(t *testing.T) {
	var own ownReach
	var peers peerReach
	now := time.Unix(1000, 0)
	if own.due(now, nil) != nil {
		t.Error("a daemon that has lost nothing reports that")
	}
	peers.apply(now, "a", own.due(now, []routing.ServiceID{"llm"}))
	if !peers.has(now, "a", "llm") || peers.has(now, "a", "app") || peers.has(now, "b", "llm") || peers.count(now, "a") != 1 {
		t.Error("the loss of one service at one daemon does not show")
	}
	if own.due(now.Add(reportInterval), []routing.ServiceID{"llm"}) != nil {
		t.Error("an unchanged loss is reported with each datagram")
	}
	repeat := own.due(now.Add(fullReportInterval), []routing.ServiceID{"llm"})
	if repeat == nil {
		t.Error("an unchanged loss is not repeated")
	}
	if peers.has(now.Add(reachTTL+time.Millisecond), "a", "llm") {
		t.Error("a loss counts although its daemon no longer reports it")
	}
	peers.apply(now, "a", own.due(now.Add(fullReportInterval), nil))
	if peers.has(now, "a", "llm") {
		t.Error("a service that is reached again counts as lost")
	}
	if own.due(now.Add(2*fullReportInterval), nil) != nil {
		t.Error("the end of a loss is reported again and again")
	}
}

// A report about very many services must fit in a datagram, and one that claims more must not be kept whole.
func TestReportOfLossesIsBounded(t *testing.T) {
	var own ownReach
	var peers peerReach
	now := time.Unix(1000, 0)
	var many []routing.ServiceID
	for n := range 10 * maxLost {
		many = append(many, routing.ServiceID(fmt.Sprint("service", n)))
	}
	report := &Report{From: "a-daemon-with-a-long-name", Reach: own.due(now, many)}
	if n := proto.Size(report); n > maxDatagram/2 {
		t.Errorf("%d bytes", n)
	}
	peers.apply(now, "a", &Reach{Lost: make([]uint64, 100*maxLost)})
	if n := peers.count(now, "a"); n > maxLost {
		t.Errorf("%d services are kept", n)
	}
}
