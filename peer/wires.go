package peer

import (
	"quetzalpier/board"
	"quetzalpier/wire"
)

func toWire(m board.Member) *wire.Member {
	return &wire.Member{
		Id: m.ID, Peer: m.Peer, Http: m.HTTP, Domain: m.Domain, Region: m.Region,
		Roles: m.Roles, Incarnation: m.Incarnation, State: int32(m.State),
	}
}

func fromWire(m *wire.Member) board.Member {
	return board.Member{
		ID: m.GetId(), Peer: m.GetPeer(), HTTP: m.GetHttp(), Domain: m.GetDomain(), Region: m.GetRegion(),
		Roles: m.GetRoles(), Incarnation: m.GetIncarnation(), State: board.MemberState(m.GetState()),
	}
}
