package kcrpeer_test

import (
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
	"kingcuprun.example/kernel/kcrpeer"
)

// stream carries what books have to say to all of them.
type stream struct{ records [][]byte }

func (s *stream) write(b *kcrpeer.Book) {
	records, _ := b.Batch(10)
	s.records = append(s.records, records...)
}

func (s *stream) read(t *testing.T, now kcrclock.Time, b *kcrpeer.Book) {
	t.Helper()
	for i := int(b.At()); i < len(s.records); i++ {
		e, err := kcrlog.Decode(s.records[i])
		if err != nil {
			t.Fatal(err)
		}
		b.Apply(now, kcrid.Offset(i+1), e)
	}
	b.Ready()
}

func TestPeers(t *testing.T) {
	t.Parallel()
	s := &stream{}
	a, b := kcrpeer.New("a/1", "10.0.0.1:1"), kcrpeer.New("b/1", "10.0.0.2:1")
	for _, book := range []*kcrpeer.Book{a, b} {
		s.read(t, 1, book)
		book.Tick(1)
		s.write(book)
	}
	s.read(t, 100, a)
	s.read(t, 100, b)
	if a.Unsent() || b.Unsent() {
		t.Fatal("expected the records to be known to be on the stream")
	}
	if n, near := a.Routers(200), a.Near(200); n != 2 || len(near) != 1 || near[0] != "10.0.0.2:1" {
		t.Fatalf("expected b to be near, got %d routers and %v", n, near)
	}
	if a.Leads(200, "x") == b.Leads(200, "x") {
		t.Fatal("expected one of two to lead")
	}
	if n, near := a.Routers(8000), a.Near(8000); n != 1 || len(near) != 1 {
		t.Fatalf("after 8 s: expected one router and b still to be asked, got %d and %v", n, near)
	}
	late := kcrpeer.New("c/1", "")
	s.read(t, 9000, late)
	late.Tick(9000)
	if n := late.Routers(9000); n != 1 || late.Unsent() {
		t.Fatalf("expected old records to tell of nobody who lives, got %d routers", n)
	}
}
