package discovery

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/httpclient"
)

// invalidEntries says which entries of an instance list were left out.
type invalidEntries struct {
	count int64
	first error // of the first one
}

// parseInstanceList parses an instance list. An entry that is not valid, for example one of another writer, is left out and
// counted. Any other fault fails the whole list.
func parseInstanceList(text []byte) (list InstanceList, invalid invalidEntries, err error) {
	if err := httpclient.CheckJSON(text); err != nil {
		return list, invalid, eris.Wrap(err, "decode instance list")
	}
	p := listParser{text: text, dec: json.NewDecoder(bytes.NewReader(text))}
	p.dec.UseNumber() // a number that is too large is no error of the list
	err = p.parse(&list)
	return list, p.invalid, eris.Wrap(err, "decode instance list")
}

// listParser reads a list token by token, because package json refuses a whole text with an entry that is nested deeply.
type listParser struct {
	text    []byte
	dec     *json.Decoder
	invalid invalidEntries
}

func (p *listParser) parse(list *InstanceList) error {
	if err := p.expect('{'); err != nil {
		return err
	}
	for p.dec.More() {
		key, err := p.dec.Token()
		if err != nil {
			return err
		}
		switch key {
		case "sequence":
			err = p.dec.Decode(&list.Sequence)
		case "instances":
			list.Instances, err = p.parseEntries()
		default:
			err = p.skip()
		}
		if err != nil {
			return err
		}
	}
	if err := p.expect('}'); err != nil {
		return err
	}
	if _, err := p.dec.Token(); err != io.EOF {
		return eris.Errorf("list is followed by other data at byte %d", p.dec.InputOffset())
	}
	return nil
}

// add counts the entry with a number, from 1.
func (i *invalidEntries) add(number int, err error) {
	if i.count == 0 {
		i.first = eris.Wrapf(err, "entry %d", number)
	}
	i.count++
}

func (p *listParser) expect(delim json.Delim) error {
	token, err := p.dec.Token()
	if err == nil && token != delim {
		err = eris.Errorf("%v at byte %d, want %v", token, p.dec.InputOffset(), delim)
	}
	return err
}

func (p *listParser) parseEntries() (entries []Instance, err error) {
	switch token, err := p.dec.Token(); {
	case err != nil || token == nil: // null is an empty list
		return nil, err
	case token != json.Delim('['):
		return nil, eris.Errorf("instances are not a list at byte %d", p.dec.InputOffset())
	}
	for n := 1; p.dec.More(); n++ {
		start := p.dec.InputOffset()
		if err := p.skip(); err != nil {
			return nil, err
		}
		text := bytes.TrimLeft(p.text[start:p.dec.InputOffset()], ", \t\r\n")
		if entry, err := parseEntry(text); err != nil {
			p.invalid.add(n, err)
		} else {
			entries = append(entries, entry)
		}
	}
	return entries, p.expect(']')
}

// skip reads one value.
func (p *listParser) skip() error {
	for depth := 0; ; {
		token, err := p.dec.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}

func parseEntry(text []byte) (entry Instance, err error) {
	if err := json.Unmarshal(text, &entry); err != nil {
		return entry, err
	}
	address, err := netip.ParseAddrPort(entry.Address)
	switch {
	case err != nil:
		return entry, err
	case address.Port() == 0:
		return entry, eris.Errorf("address %s has no port", entry.Address)
	case entry.Service == "":
		return entry, eris.New("no service")
	case entry.State != StateLive && entry.State != StateLeaving:
		return entry, eris.Errorf("unknown state %q", entry.State)
	}
	return entry, nil
}
