package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"quetzalpier"
)

type configCommand struct {
	Get   configGet   `command:"get" description:"Print the configuration in force"`
	Patch configPatch `command:"patch" description:"Apply a JSON merge patch"`
	Log   configLog   `command:"log" description:"Print the ids of the last patches"`
}

func addConfig(p *flags.Parser) error {
	return add(p, "config", "Read and patch the operators' configuration", &configCommand{})
}

type configGet struct{ operator }

// Execute prints the configuration.
func (c *configGet) Execute([]string) error {
	body, err := c.call(fasthttp.MethodGet, "/v1/config", nil)
	if err != nil {
		return err
	}
	return printJSON(body)
}

type configPatch struct {
	operator
	Number uint64 `long:"number" required:"true" description:"number that the patch was written against"`
	ID     string `long:"id" description:"patch id; the same id sent again settles a lost answer"`
	Args   struct {
		File string `positional-arg-name:"FILE" description:"merge patch (JSON), - for standard input"`
	} `positional-args:"true" required:"true"`
}

// Execute sends the patch and prints the new number.
func (c *configPatch) Execute([]string) error {
	patch, err := readInput(c.Args.File)
	if err != nil {
		return err
	}
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	body, err := c.call(fasthttp.MethodPatch, "/v1/config", patch,
		"If-Match", strconv.Quote(strconv.FormatUint(c.Number, 10)), "Quetzalpier-Patch", c.ID)
	if err != nil {
		return errors.Wrapf(err, "patch %s", c.ID)
	}
	var config quetzalpier.Config
	if err := json.Unmarshal(body, &config); err != nil {
		return errors.Wrap(err, "decode configuration")
	}
	fmt.Fprintf(out, "patch %s accepted, the configuration is at number %d\n", c.ID, config.Number)
	return nil
}

func readInput(file string) ([]byte, error) {
	if file == "-" {
		data, err := io.ReadAll(os.Stdin)
		return data, errors.Wrap(err, "read patch")
	}
	data, err := os.ReadFile(file)
	return data, errors.Wrap(err, "read patch")
}

type configLog struct{ operator }

// Execute prints the last patches' ids with the numbers that they made.
func (c *configLog) Execute([]string) error {
	body, err := c.call(fasthttp.MethodGet, "/v1/config", nil)
	if err != nil {
		return err
	}
	var config quetzalpier.Config
	if err := json.Unmarshal(body, &config); err != nil {
		return errors.Wrap(err, "decode configuration")
	}
	first := config.Number - uint64(len(config.PatchIDs)) + 1
	for i, id := range config.PatchIDs {
		fmt.Fprintln(out, first+uint64(i), id)
	}
	return nil
}
